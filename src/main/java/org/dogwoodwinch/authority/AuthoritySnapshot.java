package org.dogwoodwinch.authority;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A copy of the state of leases, orders and planned changes, stored in checkpoints.
 *
 * @param leases the leases by group, not null
 * @param renewals the offset of the last renewal by holder, not null
 * @param engines the last order by engine, not null
 * @param loadCount the number of weight loads ordered so far
 * @param plans the plans in order of their requests, not null
 * @param standing the reasons why targets are out of service, by target, oldest first, not null
 * @param forgottenThrough the highest offset of a plan request whose plan was removed from the table; -1 if none was
 */
public record AuthoritySnapshot(
        SortedMap<String, GroupLease> leases,
        SortedMap<String, Long> renewals,
        SortedMap<String, EngineEntry> engines,
        long loadCount,
        List<PlanRecord> plans,
        Map<String, OutOfServiceReason> standing,
        long forgottenThrough) {

    /** The state before the first record. */
    public static final AuthoritySnapshot EMPTY =
            new AuthoritySnapshot(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), 0, List.of(), Map.of(), -1);

    /** Copies the components. */
    public AuthoritySnapshot {
        leases = Collections.unmodifiableSortedMap(new TreeMap<>(leases));
        renewals = Collections.unmodifiableSortedMap(new TreeMap<>(renewals));
        engines = Collections.unmodifiableSortedMap(new TreeMap<>(engines));
        plans = List.copyOf(plans);
        standing = Collections.unmodifiableMap(new LinkedHashMap<>(standing));
    }
}
