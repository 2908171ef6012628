package org.dogwoodwinch.authority;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A copy of leases, orders and plans, for checkpoints.
 *
 * @param leases the leases by group, not null
 * @param renewals the offset of the last renewal by holder, not null
 * @param engines the last order by engine, not null
 * @param loadCount how many weight loads were ordered so far
 * @param plans the plans in order of their requests, not null
 * @param standing the targets out of service, oldest first, not null
 * @param forgottenThrough the offset of the youngest plan request that is forgotten; -1 where none is
 */
public record AuthoritySnapshot(
        SortedMap<String, GroupLease> leases,
        SortedMap<String, Long> renewals,
        SortedMap<String, EngineEntry> engines,
        long loadCount,
        List<PlanRecord> plans,
        Map<String, StandingMark> standing,
        long forgottenThrough) {

    /** Nothing held, ordered or planned. */
    public static final AuthoritySnapshot EMPTY =
            new AuthoritySnapshot(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), 0, List.of(), Map.of(), -1);

    /** Copies the parts. */
    public AuthoritySnapshot {
        leases = Collections.unmodifiableSortedMap(new TreeMap<>(leases));
        renewals = Collections.unmodifiableSortedMap(new TreeMap<>(renewals));
        engines = Collections.unmodifiableSortedMap(new TreeMap<>(engines));
        plans = List.copyOf(plans);
        standing = Collections.unmodifiableMap(new LinkedHashMap<>(standing));
    }
}
