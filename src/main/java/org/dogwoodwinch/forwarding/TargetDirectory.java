package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The targets in the platform's registry. Not thread-safe.
 *
 * <p>Records are applied in the order of their offsets, so that a page that was read late cannot revert a newer
 * record.
 */
public final class TargetDirectory {

    private final TargetHealth health;
    private final TargetRateLimits limits;
    private final TargetRests rests;
    private final LeavingIncarnations leaving = new LeavingIncarnations();
    private final Map<String, Entry> entries = new HashMap<>();
    private Optional<Map<String, List<Incarnation>>> readyByService = Optional.empty();
    private Optional<Map<String, Set<String>>> versionsByService = Optional.empty();
    private int readyCount;

    /**
     * Creates a directory without targets.
     *
     * @param health the targets that cannot be reached from this instance, not null
     * @param limits the rate limits that targets state, and this instance's remaining share of them, not null
     * @param rests the targets that asked this instance for a rest, not null
     */
    public TargetDirectory(TargetHealth health, TargetRateLimits limits, TargetRests rests) {
        this.rests = Objects.requireNonNull(rests, "rests");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.health = Objects.requireNonNull(health, "health");
    }

    /**
     * Applies a record. A record of an earlier incarnation of a target that has since restarted is ignored: it was
     * written late, and would restore an obsolete address and state. An incarnation that has stated that it is leaving
     * is draining, whatever its record says.
     *
     * @param id the target's id, not null
     * @param offset the record's offset
     * @param incarnation the incarnation in the record, empty if the entry was removed
     * @return whether the record changed the directory
     */
    public boolean apply(String id, long offset, Optional<Incarnation> incarnation) {
        Entry previous = entries.get(id);
        if (previous != null && (previous.offset >= offset || previous.startedAfter(incarnation))) {
            return false;
        }
        // A copy of the store may hold an entry of the same incarnation in which it was still ready.
        incarnation.filter(Incarnation::draining).ifPresent(each -> leaving.record(id, each.startedMillis()));
        Optional<Incarnation> current = incarnation.map(each -> leaving.contains(each) ? each.asDraining() : each);
        boolean changed = previous == null || !previous.incarnation.equals(current);
        putEntry(id, new Entry(offset, current));
        return changed;
    }

    /**
     * Records that an incarnation of a target states that it is leaving. From now on it is draining; a later start
     * under the same id is not.
     *
     * @param id the target's id, not null
     * @param startedMillis the start time of the incarnation; zero if not stated
     * @return whether that was unknown
     */
    public boolean recordLeaving(String id, long startedMillis) {
        boolean unknown = leaving.record(id, startedMillis);
        Entry entry = entries.get(id);
        if (unknown && entry != null) {
            entry.incarnation
                    .filter(listed -> !listed.draining() && leaving.contains(listed))
                    .ifPresent(listed -> putEntry(id, new Entry(entry.offset, Optional.of(listed.asDraining()))));
        }
        return unknown;
    }

    /**
     * Removes the entries that a full listing covers by its offset but does not contain.
     *
     * @param listed the ids in the listing, not null
     * @param endOffset the end of the log when the listing began
     * @return the ids of the removed entries
     */
    public List<String> retainListed(Collection<String> listed, long endOffset) {
        List<String> dropped = new ArrayList<>();
        entries.forEach((id, entry) -> {
            if (entry.offset < endOffset && entry.incarnation.isPresent() && !listed.contains(id)) {
                dropped.add(id);
            }
        });
        dropped.forEach(id -> putEntry(id, new Entry(endOffset - 1, Optional.empty())));
        return dropped;
    }

    /**
     * Returns the number of targets that are listed and not draining.
     *
     * @return the number over all services
     */
    public int readyCount() {
        return readyCount;
    }

    /**
     * Returns the targets that may receive new calls.
     *
     * @param service the service's name, not null
     * @return the targets that are listed and not draining, without those that are ejected or changing their stage
     */
    public List<Incarnation> readyTargets(String service) {
        if (readyByService.isEmpty()) {
            readyByService = Optional.of(indexByService());
        }
        return health.filterUsable(readyByService.get().getOrDefault(service, List.of()));
    }

    /**
     * Returns whether a target is unchanged since it was chosen.
     *
     * @param target the target as it was chosen, not null
     * @return false if it has since begun to drain, was removed, restarted, or changed its stage or software version
     */
    public boolean isCurrent(Incarnation target) {
        return find(target.id())
                .filter(current -> !current.draining()
                        && current.startedMillis() == target.startedMillis()
                        && current.address().equals(target.address())
                        && current.stage() == target.stage()
                        && current.softwareVersion().equals(target.softwareVersion()))
                .isPresent();
    }

    /**
     * Returns whether a call may be written to a target that was chosen earlier. Its rate limit is not asked again, as
     * the call has taken from it with its connection.
     *
     * @param target the target as it was chosen, not null
     * @return the verdict
     */
    public SendCheck checkSend(Incarnation target) {
        if (!isCurrent(target)) {
            return SendCheck.LEFT;
        }
        return rests.mayReceive(target) ? SendCheck.ALLOWED : SendCheck.RESTING;
    }

    /**
     * Returns whether a target accepts a call of this instance now.
     *
     * @param target the target, not null
     * @return false if the target states a rate limit and this instance's share of it is used up, or if it asked this
     *     instance for a rest
     */
    public boolean hasCapacity(Incarnation target) {
        return rests.mayReceive(target) && limits.hasCapacity(target.id());
    }

    /**
     * Returns whether a target states a rate limit. Calls that all instances would send to it have to be sent
     * elsewhere.
     *
     * @param target the target, not null
     * @return whether the target is rate-limited
     */
    public boolean isRateLimited(Incarnation target) {
        return limits.isRateLimited(target.id());
    }

    /**
     * Returns when the first target that may run a call has capacity again. Targets that the call was sent to are left
     * out unless they asked for a rest, after which they count again.
     *
     * @param query the call, not null
     * @return the time from now in milliseconds; zero if a target has capacity, or no target remains
     */
    public long millisUntilCapacity(TargetQuery query) {
        return readyTargets(query.service().name()).stream()
                .filter(query::isVersionAllowed)
                .filter(target -> !query.triedTargetIds().contains(target.id())
                        || rests.isResting(target.id(), target.startedMillis()))
                .mapToLong(
                        target -> Math.max(rests.millisUntilAvailable(target), limits.millisUntilCapacity(target.id())))
                .min()
                .orElse(0);
    }

    /**
     * Returns whether a target is known to have been removed.
     *
     * @param id the target's id, not null
     * @return whether the last record of the target removed it
     */
    public boolean isRemoved(String id) {
        Entry entry = entries.get(id);
        return entry != null && entry.incarnation.isEmpty();
    }

    /**
     * Returns a target.
     *
     * @param id the target's id, not null
     * @return the target if it is listed, draining or not
     */
    public Optional<Incarnation> find(String id) {
        Entry entry = entries.get(id);
        return entry == null ? Optional.empty() : entry.incarnation;
    }

    /**
     * Returns all listed targets.
     *
     * @return the targets, draining or not
     */
    public List<Incarnation> all() {
        return entries.values().stream()
                .flatMap(entry -> entry.incarnation.stream())
                .toList();
    }

    /**
     * Returns the software versions of a service's targets.
     *
     * @param service the service's name, not null
     * @return the versions of all listed targets, draining or not; empty if there are none
     */
    public Set<String> softwareVersions(String service) {
        if (versionsByService.isEmpty()) {
            Map<String, Set<String>> versions = new HashMap<>();
            all().forEach(target -> versions.computeIfAbsent(target.service(), _service -> new HashSet<>())
                    .add(target.softwareVersion()));
            versionsByService = Optional.of(versions);
        }
        return versionsByService.get().getOrDefault(service, Set.of());
    }

    private void putEntry(String id, Entry entry) {
        Entry previous = entries.put(id, entry);
        if (previous == null || !previous.incarnation.equals(entry.incarnation)) {
            versionsByService = Optional.empty();
        }
        readyCount += (entry.isReady() ? 1 : 0) - (previous != null && previous.isReady() ? 1 : 0);
        readyByService = Optional.empty();
    }

    /** Called on demand, because the first listing adds all targets one after the other. */
    private Map<String, List<Incarnation>> indexByService() {
        Map<String, List<Incarnation>> readyTargets = new HashMap<>();
        for (Entry entry : entries.values()) {
            if (entry.isReady()) {
                readyTargets
                        .computeIfAbsent(entry.incarnation.get().service(), _service -> new ArrayList<>())
                        .add(entry.incarnation.get());
            }
        }
        return readyTargets;
    }

    private record Entry(long offset, Optional<Incarnation> incarnation) {

        boolean startedAfter(Optional<Incarnation> other) {
            return incarnation.isPresent()
                    && other.isPresent()
                    && other.get().startedMillis() != 0
                    && incarnation.get().startedMillis() > other.get().startedMillis();
        }

        boolean isReady() {
            return incarnation.isPresent() && !incarnation.get().draining();
        }
    }
}
