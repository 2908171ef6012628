package org.dogwoodwinch.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Deals the limit that a target names out to few instances, the highest ranked for it, without a word between them. Not
 * thread-safe.
 *
 * <p>Load: many instances before a target that takes two calls a second. Equal shares of all would let each send a first
 * call, dozens at once, and then one in a minute. A share here is about a call a second, so that the calls that all holders
 * may send at once are no more than the target takes in a second, or two.
 *
 * <p>Failure: instances that come, go, or are cut off do not believe in the same fleet. An instance that is not sure that the
 * others count on it has no share; one that has come to rank among the holders waits until those before it have heard so.
 * One that is wrong all the same adds one share, and the sum stays below one and a half times the limit.
 */
public final class LimitShares {

    /** With two, the loss of one holder leaves a target half of its calls. */
    private static final int LEAST_HOLDERS_COUNT = 2;

    /** A fleet that looks smaller may be one whose other instances were not heard yet. */
    private static final int FEWEST_BELIEVED_COUNT = 4;

    /** Each instance announces itself several times in this time. */
    private static final long CONFIRMED_MILLIS = 60_000;

    /** Of a target that takes next to nothing: a call now and then finds out that it takes more again. */
    private static final double LEAST_PER_SECOND = 0.2;

    /** The way of an instance's announcement to the others. */
    private static final long SETTLED_MILLIS = 2_000;

    /** The names among which nobody has a share. */
    private static final Set<String> NOBODY = Set.of();

    private final String ownName;
    private final Supplier<Optional<Set<String>>> countedOn;
    private final LongSupplier clockMillis;
    private final Deque<Fleet> fleets = new ArrayDeque<>();
    private final Map<String, Integer> ranks = new HashMap<>();
    private long unchangedSinceMillis;

    /**
     * Creates a dealer that has no share until it has looked at the fleet.
     *
     * @param ownName this instance's name, not null
     * @param countedOn the instances that count on each other, this one among them, empty while it is not sure, not null
     * @param clockMillis monotonic milliseconds, not null
     */
    public LimitShares(String ownName, Supplier<Optional<Set<String>>> countedOn, LongSupplier clockMillis) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.countedOn = Objects.requireNonNull(countedOn, "countedOn");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
        fleets.add(new Fleet(NOBODY, Long.MAX_VALUE));
    }

    /** Looks at who is there; to be called several times a second. */
    public void look() {
        long nowMillis = clockMillis.getAsLong();
        Set<String> names = countedOn.get().map(Set::copyOf).orElse(NOBODY);
        Fleet current = fleets.getLast();
        boolean changed = !names.equals(current.names);
        if (changed) {
            fleets.removeLast();
            fleets.addLast(new Fleet(current.names, nowMillis));
            fleets.addLast(new Fleet(names, Long.MAX_VALUE));
            unchangedSinceMillis = nowMillis;
        }
        while (fleets.getFirst().untilMillis < nowMillis - SETTLED_MILLIS) {
            fleets.removeFirst();
            changed = true;
        }
        if (changed) {
            ranks.clear();
        }
    }

    /**
     * Returns this instance's share of a target's limit.
     *
     * @param targetId the target's id, not null
     * @param limitPerSecond the calls a second that the target takes from all instances together
     * @return calls a second from here; zero for most instances
     */
    public double perSecond(String targetId, double limitPerSecond) {
        long holdersCount = holdersCount(limitPerSecond);
        return rank(targetId) < holdersCount ? Math.max(LEAST_PER_SECOND, limitPerSecond) / holdersCount : 0;
    }

    /**
     * Says whether this instance is sure of the fleet.
     *
     * @return whether the others count on it as far as it knows
     */
    public boolean sure() {
        return !fleets.getLast().names.isEmpty();
    }

    /**
     * Says whether this instance ranks among the holders of a target's limit, also where it does not use its share yet.
     *
     * @param targetId the target's id, not null
     * @param limitPerSecond the limit
     * @return whether it does; false while it is not sure of the fleet
     */
    public boolean holds(String targetId, double limitPerSecond) {
        return sure() && rankAmong(fleets.getLast().names, targetId) < holdersCount(limitPerSecond);
    }

    private long holdersCount(double limitPerSecond) {
        long wanted = Math.max(LEAST_HOLDERS_COUNT, Math.round(limitPerSecond));
        boolean confirmed = clockMillis.getAsLong() - unchangedSinceMillis >= CONFIRMED_MILLIS;
        int fewest = confirmed ? 1 : FEWEST_BELIEVED_COUNT;
        return Math.min(wanted, Math.max(fewest, fleets.getLast().names.size()));
    }

    /** The worst among the fleets of late, beyond any share where this instance was not sure. */
    private int rank(String targetId) {
        return ranks.computeIfAbsent(
                targetId,
                id -> fleets.stream()
                        .mapToInt(fleet -> fleet.names.isEmpty() ? Integer.MAX_VALUE : rankAmong(fleet.names, id))
                        .max()
                        .orElse(Integer.MAX_VALUE));
    }

    private int rankAmong(Set<String> names, String targetId) {
        double own = Rendezvous.score(targetId, ownName);
        int before = 0;
        for (String name : names) {
            if (Rendezvous.score(targetId, name) > own) {
                before++;
            }
        }
        return before;
    }

    /** Who counted on each other, and until when: the end of time for those who do now. */
    private record Fleet(Set<String> names, long untilMillis) {}
}
