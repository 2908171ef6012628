package org.dogwoodwinch.control;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.authority.AuthoritySnapshot;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.EditRecord;

/**
 * The whole folded state of the control stream up to an offset.
 *
 * @param coveredOffset the last offset that is folded in; -1 before the first
 * @param recentIds ids of the last records, oldest first, not null
 * @param catalogue the catalogue, not null
 * @param edits the catalogue's history, oldest first, not null
 * @param authority leases, orders and plans, not null
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

    /** Checks and copies the parts. */
    public ControlSnapshot {
        recentIds = List.copyOf(recentIds);
        Objects.requireNonNull(catalogue, "catalogue");
        edits = List.copyOf(edits);
        Objects.requireNonNull(authority, "authority");
    }
}
