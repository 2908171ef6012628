package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.controllog.ControlRecord;

/**
 * A copy of the folded state, put on the stream before the records that made it expire.
 *
 * @param id the record's id, not null
 * @param snapshot the state, not null
 */
public record Checkpoint(String id, ControlSnapshot snapshot) implements ControlRecord {

    /** Checks the parts. */
    public Checkpoint {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(snapshot, "snapshot");
    }
}
