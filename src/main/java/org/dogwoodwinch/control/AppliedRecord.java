package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.controllog.ControlRecord;

/**
 * A record that was applied to the state machine, with the outcome.
 *
 * @param offset the offset of the record on the log
 * @param record the record, not null
 * @param accepted whether the state machine accepted the record
 * @param rejectionReason why the record was rejected, empty if it was accepted, not null
 */
public record AppliedRecord(long offset, ControlRecord record, boolean accepted, String rejectionReason) {

    /** Validates the components. */
    public AppliedRecord {
        Objects.requireNonNull(record, "record");
        Objects.requireNonNull(rejectionReason, "rejectionReason");
    }
}
