package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the instance that takes over a call. Not thread-safe.
 *
 * <p>Load: most of a data centre's instances are cut off from the targets, and the few others of that data centre would
 * receive several times their calls. A near instance is therefore preferred only while at least half of the data
 * centre's instances reach the targets; otherwise all instances of the fleet share the calls. Of two random instances
 * the one with fewer calls of this instance is taken, so that no instance receives all of them.
 *
 * <p>Load: the links of a whole data centre are full. Instances that lately accepted no connection are avoided, and if
 * there are several near ones, calls go to other data centres.
 */
public final class NeighbourChooser {

    /** More calls of one instance at another would take the processor time that its own callers need. */
    public static final int MAX_CALLS_PER_NEIGHBOUR = 64;

    /** One may be gone; two show that the links of the data centre are full. */
    private static final int MAX_UNREACHABLE_NEAR = 1;

    private final String ownDataCentre;
    private final UniformRandomProvider random;

    /**
     * Creates a chooser.
     *
     * @param ownDataCentre the data centre of this instance, not null
     * @param random the source of randomness, not null
     */
    public NeighbourChooser(String ownDataCentre, UniformRandomProvider random) {
        this.ownDataCentre = Objects.requireNonNull(ownDataCentre, "ownDataCentre");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns whether any instance can take over a call, which costs less than choosing one.
     *
     * @param others the other instances, not null
     * @param isolated the names of instances that are cut off from the targets themselves, not null
     * @param callsAt returns how many calls of this instance an instance has taken over, by its name, not null
     * @return whether {@link #choose} finds one for a call that was not tried anywhere
     */
    public boolean canChoose(List<Neighbour> others, Set<String> isolated, ToIntFunction<String> callsAt) {
        return others.stream().anyMatch(each -> isUsable(each, isolated, callsAt));
    }

    private static boolean isUsable(Neighbour neighbour, Set<String> isolated, ToIntFunction<String> callsAt) {
        return !isolated.contains(neighbour.name()) && callsAt.applyAsInt(neighbour.name()) < MAX_CALLS_PER_NEIGHBOUR;
    }

    /**
     * Chooses an instance.
     *
     * @param others the other instances, not null
     * @param isolated the names of instances that are cut off from the targets themselves, not null
     * @param tried the names of instances that could not take over this call, not null
     * @param unreachable the names of instances that lately accepted no connection, which are chosen only if there is
     *     no other, not null
     * @param callsAt returns how many calls of this instance an instance has taken over, by its name, not null
     * @return the instance; empty if none can take over the call
     */
    public Optional<Neighbour> choose(
            List<Neighbour> others,
            Set<String> isolated,
            Set<String> tried,
            Set<String> unreachable,
            ToIntFunction<String> callsAt) {
        List<Neighbour> usable = others.stream()
                .filter(each -> !tried.contains(each.name()) && isUsable(each, isolated, callsAt))
                .toList();
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        List<Neighbour> candidates = candidates(others, usable, unreachable);
        Neighbour first = candidates.get(random.nextInt(candidates.size()));
        Neighbour second = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(callsAt.applyAsInt(second.name()) < callsAt.applyAsInt(first.name()) ? second : first);
    }

    private List<Neighbour> candidates(List<Neighbour> others, List<Neighbour> usable, Set<String> unreachable) {
        List<Neighbour> reachable = usable.stream()
                .filter(each -> !unreachable.contains(each.name()))
                .toList();
        if (reachable.isEmpty()) {
            return usable;
        }
        List<Neighbour> near = reachable.stream().filter(this::isNear).toList();
        List<Neighbour> far = reachable.stream().filter(each -> !isNear(each)).toList();
        List<Neighbour> allNear = others.stream().filter(this::isNear).toList();
        long unreachableNearCount = allNear.stream()
                .filter(each -> unreachable.contains(each.name()))
                .count();
        if (unreachableNearCount > MAX_UNREACHABLE_NEAR && !far.isEmpty()) {
            return far;
        }
        return !near.isEmpty() && 2L * near.size() >= 1 + allNear.size() ? near : reachable;
    }

    private boolean isNear(Neighbour neighbour) {
        return neighbour.dataCentre().equals(ownDataCentre);
    }
}
