package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The targets as the platform's list tells them. Not thread-safe.
 *
 * <p>Records are applied by their offset, so that a page read late cannot bring back what a newer record changed.
 */
public final class TargetDirectory {

    private final TargetHealth health;
    private final TargetLimits limits;
    private final Map<String, Entry> entries = new HashMap<>();
    private Optional<Map<String, List<Incarnation>>> readyByService = Optional.empty();
    private int readyCount;

    /**
     * Creates a directory without targets.
     *
     * @param health which targets cannot be reached from here, not null
     * @param limits which targets name a limit, and what of it is left here, not null
     */
    public TargetDirectory(TargetHealth health, TargetLimits limits) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.health = Objects.requireNonNull(health, "health");
    }

    /**
     * Applies a record. One of an earlier start of a target that has started again since is passed over: it was written
     * late, and would bring back an address and a state that are no more.
     *
     * @param id the target's id, not null
     * @param offset the record's offset
     * @param incarnation what it states, empty where the entry was removed
     * @return whether it was news
     */
    public boolean apply(String id, long offset, Optional<Incarnation> incarnation) {
        Entry previous = entries.get(id);
        if (previous != null && (previous.offset >= offset || previous.startedAfter(incarnation))) {
            return false;
        }
        boolean changed = previous == null || !previous.incarnation.equals(incarnation);
        putEntry(id, new Entry(offset, incarnation));
        return changed;
    }

    /**
     * Drops the entries that a full reading did not list though it covers their records.
     *
     * @param listed the ids that were listed, not null
     * @param endOffset the end of the log when the reading began
     * @return the ids that were dropped
     */
    public List<String> retain(Collection<String> listed, long endOffset) {
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
     * Returns how many targets are listed and not leaving.
     *
     * @return the count over all services
     */
    public int readyCount() {
        return readyCount;
    }

    /**
     * Returns the targets that may get new work.
     *
     * @param service the service's name, not null
     * @return those listed and not leaving, but for what could not be reached of late
     */
    public List<Incarnation> ready(String service) {
        if (readyByService.isEmpty()) {
            readyByService = Optional.of(indexByService());
        }
        return health.usable(readyByService.get().getOrDefault(service, List.of()));
    }

    /**
     * Says whether a target is what it was when it was chosen.
     *
     * @param target the target as it was then, not null
     * @return false where it leaves, is gone, has started again or takes another part of the work since
     */
    public boolean serves(Incarnation target) {
        return find(target.id())
                .filter(current -> !current.leaving()
                        && current.bornMillis() == target.bornMillis()
                        && current.address().equals(target.address())
                        && current.stage() == target.stage())
                .isPresent();
    }

    /**
     * Says whether a target takes a call from here now.
     *
     * @param target the target, not null
     * @return false where it names a limit and this instance's share of it is used up
     */
    public boolean hasRoom(Incarnation target) {
        return limits.hasRoom(target.id());
    }

    /**
     * Says whether a target names a limit: what all instances would send there has to go elsewhere.
     *
     * @param target the target, not null
     * @return whether it is limited
     */
    public boolean isLimited(Incarnation target) {
        return limits.isLimited(target.id());
    }

    /**
     * Returns when the first of a service's targets has room again.
     *
     * @param service the service's name, not null
     * @param triedTargetIds targets that do not count, not null
     * @return milliseconds from now; zero where one has room, or none is left
     */
    public long roomMillis(String service, Set<String> triedTargetIds) {
        return ready(service).stream()
                .filter(target -> !triedTargetIds.contains(target.id()))
                .mapToLong(target -> limits.roomMillis(target.id()))
                .min()
                .orElse(0);
    }

    /**
     * Returns a target.
     *
     * @param id its id, not null
     * @return the target where it is listed, leaving or not
     */
    public Optional<Incarnation> find(String id) {
        Entry entry = entries.get(id);
        return entry == null ? Optional.empty() : entry.incarnation;
    }

    /**
     * Returns all targets that are listed.
     *
     * @return ready and leaving ones
     */
    public List<Incarnation> all() {
        return entries.values().stream()
                .flatMap(entry -> entry.incarnation.stream())
                .toList();
    }

    private void putEntry(String id, Entry entry) {
        Entry previous = entries.put(id, entry);
        readyCount += (entry.isReady() ? 1 : 0) - (previous != null && previous.isReady() ? 1 : 0);
        readyByService = Optional.empty();
    }

    /** Made when it is asked for: a first reading brings all targets one after the other. */
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
                    && other.get().bornMillis() != 0
                    && incarnation.get().bornMillis() > other.get().bornMillis();
        }

        boolean isReady() {
            return incarnation.isPresent() && !incarnation.get().leaving();
        }
    }
}
