package org.dogwoodwinch.control;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.authority.AuthoritySnapshot;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.EditRecord;

/**
 * A snapshot of the replicated state of the control stream up to an offset.
 *
 * @param coveredOffset the last offset that the snapshot covers; -1 before the first record
 * @param recentIds the ids of the most recent records, oldest first, used to drop duplicates, not null
 * @param catalogue the current catalogue, not null
 * @param edits the history of catalogue edits, oldest first, not null
 * @param authority the state of leases, orders and plans, not null
 */
public record ControlSnapshot(
        long coveredOffset,
        List<String> recentIds,
        Catalogue catalogue,
        List<EditRecord> edits,
        AuthoritySnapshot authority) {

    /** The state before the first record. */
    public static final ControlSnapshot EMPTY =
            new ControlSnapshot(-1, List.of(), Catalogue.EMPTY, List.of(), AuthoritySnapshot.EMPTY);

    /** Validates and copies the components. */
    public ControlSnapshot {
        recentIds = List.copyOf(recentIds);
        Objects.requireNonNull(catalogue, "catalogue");
        edits = List.copyOf(edits);
        Objects.requireNonNull(authority, "authority");
    }
}
