package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.controllog.ControlRecord;

/**
 * What the fold made of one record.
 *
 * @param offset the record's place on the log
 * @param record the record, not null
 * @param accepted whether it changed the state
 * @param rejectionReason why not, empty where it did, not null
 */
public record FoldedRecord(long offset, ControlRecord record, boolean accepted, String rejectionReason) {

    /** Checks the parts. */
    public FoldedRecord {
        Objects.requireNonNull(record, "record");
        Objects.requireNonNull(rejectionReason, "detail");
    }
}
