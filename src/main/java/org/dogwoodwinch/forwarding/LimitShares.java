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
    private static final int MIN_HOLDERS_COUNT = 2;

    /** A fleet that looks smaller may be one whose other instances were not heard yet. */
    private static final int MIN_UNCONFIRMED_COUNT = 4;

    /** Each instance announces itself several times in this time. */
    private static final long CONFIRMATION_MILLIS = 60_000;

    /** Of a target that takes next to nothing: a call now and then finds out that it takes more again. */
    private static final double MIN_PER_SECOND = 0.2;

    /** The way of an instance's announcement to the others. */
    private static final long PROPAGATION_MILLIS = 2_000;

    /** The names among which nobody has a share. */
    private static final Set<String> NO_MEMBERS = Set.of();

    private final String ownName;
    private final Supplier<Optional<Set<String>>> members;
    private final LongSupplier clockMillis;
    private final Deque<Membership> recentMemberships = new ArrayDeque<>();
    private final Map<String, Integer> rankByTarget = new HashMap<>();
    private long unchangedSinceMillis;

    /**
     * Creates a dealer that has no share until it has looked at the fleet.
     *
     * @param ownName this instance's name, not null
     * @param members the instances that count on each other, this one among them, empty while it is not sure, not null
     * @param clockMillis monotonic milliseconds, not null
     */
    public LimitShares(String ownName, Supplier<Optional<Set<String>>> members, LongSupplier clockMillis) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.members = Objects.requireNonNull(members, "countedOn");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
        recentMemberships.add(new Membership(NO_MEMBERS, Long.MAX_VALUE));
    }

    /** Looks at who is there; to be called several times a second. */
    public void look() {
        long nowMillis = clockMillis.getAsLong();
        Set<String> names = members.get().map(Set::copyOf).orElse(NO_MEMBERS);
        Membership current = recentMemberships.getLast();
        boolean changed = !names.equals(current.names);
        if (changed) {
            recentMemberships.removeLast();
            recentMemberships.addLast(new Membership(current.names, nowMillis));
            recentMemberships.addLast(new Membership(names, Long.MAX_VALUE));
            unchangedSinceMillis = nowMillis;
        }
        while (recentMemberships.getFirst().untilMillis < nowMillis - PROPAGATION_MILLIS) {
            recentMemberships.removeFirst();
            changed = true;
        }
        if (changed) {
            rankByTarget.clear();
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
        return rank(targetId) < holdersCount ? Math.max(MIN_PER_SECOND, limitPerSecond) / holdersCount : 0;
    }

    /**
     * Says whether this instance is sure of the fleet.
     *
     * @return whether the others count on it as far as it knows
     */
    public boolean isMembershipKnown() {
        return !recentMemberships.getLast().names.isEmpty();
    }

    /**
     * Says whether this instance ranks among the holders of a target's limit, also where it does not use its share yet.
     *
     * @param targetId the target's id, not null
     * @param limitPerSecond the limit
     * @return whether it does; false while it is not sure of the fleet
     */
    public boolean isShareHolder(String targetId, double limitPerSecond) {
        return isMembershipKnown()
                && rankIn(recentMemberships.getLast().names, targetId) < holdersCount(limitPerSecond);
    }

    private long holdersCount(double limitPerSecond) {
        long desiredCount = Math.max(MIN_HOLDERS_COUNT, Math.round(limitPerSecond));
        boolean confirmed = clockMillis.getAsLong() - unchangedSinceMillis >= CONFIRMATION_MILLIS;
        int minMembersCount = confirmed ? 1 : MIN_UNCONFIRMED_COUNT;
        return Math.min(
                desiredCount,
                Math.max(minMembersCount, recentMemberships.getLast().names.size()));
    }

    /** The worst among the fleets of late, beyond any share where this instance was not sure. */
    private int rank(String targetId) {
        return rankByTarget.computeIfAbsent(
                targetId,
                id -> recentMemberships.stream()
                        .mapToInt(membership ->
                                membership.names.isEmpty() ? Integer.MAX_VALUE : rankIn(membership.names, id))
                        .max()
                        .orElse(Integer.MAX_VALUE));
    }

    private int rankIn(Set<String> names, String targetId) {
        double ownScore = Rendezvous.score(targetId, ownName);
        int higherRankedCount = 0;
        for (String name : names) {
            if (Rendezvous.score(targetId, name) > ownScore) {
                higherRankedCount++;
            }
        }
        return higherRankedCount;
    }

    /** Who counted on each other, and until when: the end of time for those who do now. */
    private record Membership(Set<String> names, long untilMillis) {}
}
