package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.controllog.ControlRecord;

/**
 * A snapshot of the replicated state, appended to the control stream before the records that produced the state expire.
 *
 * @param id the id of the record, not null
 * @param snapshot the snapshot, not null
 */
public record Checkpoint(String id, ControlSnapshot snapshot) implements ControlRecord {

    /** Validates the components. */
    public Checkpoint {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(snapshot, "snapshot");
    }
}
