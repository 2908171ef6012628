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
 * Divides the rate limit that a target states among the few instances that rank highest for it by rendezvous hashing,
 * so that the instances need not communicate. Not thread-safe.
 *
 * <p>Load: many instances share a target that accepts two calls per second. With equal shares for all instances, each
 * could send its first call at once, which makes dozens of calls, and then only one call per minute. A share is
 * therefore about one call per second, so that the calls that all share holders may send at once are what the target
 * accepts in one or two seconds.
 *
 * <p>Failure: instances that start, stop or are partitioned do not agree on the membership. An instance has no share
 * while it does not know whether the others consider it a member. An instance that moves up among the share holders
 * waits until those that ranked before it have received the change. An instance that is wrong in spite of this adds
 * one share, and the sum stays below one and a half times the limit.
 */
public final class RateLimitShares {

    /** With two share holders, the loss of one leaves the target half of its calls. */
    private static final int MIN_HOLDERS_COUNT = 2;

    /** A small membership may only mean that the other instances have not yet announced themselves. */
    private static final int MIN_UNCONFIRMED_COUNT = 4;

    /** Each instance announces itself several times within this time. */
    private static final long CONFIRMATION_MILLIS = 60_000;

    /** Minimum rate for targets that state a limit near zero: an occasional call detects that the limit was raised. */
    private static final double MIN_PER_SECOND = 0.2;

    /** Time for an instance's announcement to reach the others. */
    private static final long PROPAGATION_MILLIS = 2_000;

    /** The membership while this instance is not sure of it; nobody has a share. */
    private static final Set<String> NO_MEMBERS = Set.of();

    private final String ownName;
    private final Supplier<Optional<Set<String>>> members;
    private final LongSupplier clockMillis;
    private final Deque<Membership> recentMemberships = new ArrayDeque<>();
    private final Map<String, Integer> rankByTarget = new HashMap<>();
    private long unchangedSinceMillis;

    /**
     * Creates an instance that has no share until the first call of {@link #refresh}.
     *
     * @param ownName the name of this instance, not null
     * @param members the names of the instances that consider each other members, including this one; empty while
     *     this instance is not sure of the membership, not null
     * @param clockMillis monotonic milliseconds, not null
     */
    public RateLimitShares(String ownName, Supplier<Optional<Set<String>>> members, LongSupplier clockMillis) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.members = Objects.requireNonNull(members, "members");
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
        recentMemberships.add(new Membership(NO_MEMBERS, Long.MAX_VALUE));
    }

    /** Reads the current membership. Must be called several times per second. */
    public void refresh() {
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
     * Returns this instance's share of a target's rate limit.
     *
     * @param targetId the target's id, not null
     * @param limitPerSecond the calls per second that the target accepts from all instances together
     * @return the calls per second of this instance; zero for most instances
     */
    public double sharePerSecond(String targetId, double limitPerSecond) {
        long holdersCount = holdersCount(limitPerSecond);
        return rank(targetId) < holdersCount ? Math.max(MIN_PER_SECOND, limitPerSecond) / holdersCount : 0;
    }

    /**
     * Returns whether this instance is sure of the membership.
     *
     * @return whether the other instances consider this one a member, as far as it knows
     */
    public boolean isMembershipKnown() {
        return !recentMemberships.getLast().names.isEmpty();
    }

    /**
     * Returns whether this instance ranks among the share holders of a target's limit, even if it must not use its
     * share yet.
     *
     * @param targetId the target's id, not null
     * @param limitPerSecond the limit
     * @return whether it ranks among them; false while it is not sure of the membership
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

    /** Returns the worst rank in the recent memberships; a membership that was not known counts as the last rank. */
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
        double ownScore = RendezvousHash.score(targetId, ownName);
        int higherRankedCount = 0;
        for (String name : names) {
            if (RendezvousHash.score(targetId, name) > ownScore) {
                higherRankedCount++;
            }
        }
        return higherRankedCount;
    }

    /** A membership and the time at which it ended, {@link Long#MAX_VALUE} for the current one. */
    private record Membership(Set<String> names, long untilMillis) {}
}
