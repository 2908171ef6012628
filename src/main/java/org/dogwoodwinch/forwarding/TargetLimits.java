package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.LongSupplier;
import org.dogwoodwinch.time.TokenBucket;

/**
 * Which targets name a limit in their answers, and what of it this instance may use. Not thread-safe.
 *
 * <p>Failure: a target in need names the calls a second that it takes from all instances together, and is sent as many as
 * before; it falls behind, and with it all that it has accepted. Whatever arrives there counts, also what it rejects, so each
 * send takes a call from this instance's share before a connection is taken for it.
 */
public final class TargetLimits {

    /** What was not used of a share is lost after so long: a target in need is to get no burst. */
    private static final double SHARE_KEPT_MILLIS = 250;

    /** Kept however slow the share is, so that what falls due while no call comes by is not lost. */
    private static final double LEAST_KEPT_CALLS = 1.5;

    /** Several words of those who keep the others informed, and time for their successors to do so. */
    private static final long HEARD_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** What became of what is believed. */
    public enum News {
        /** It stays as it was. */
        NONE,
        /** The target names a limit, and named none before. */
        NAMED,
        /** It names another limit. */
        CHANGED,
        /** It names none any more. */
        ENDED,
        /** Nobody has said for a while that it names one. */
        LAPSED
    }

    private final LongSupplier clockMillis;
    private final LimitShares shares;
    private final Map<String, Limit> limits = new HashMap<>();
    private final Map<String, Long> endedMillis = new HashMap<>();

    /**
     * Creates a book without limits.
     *
     * @param clockMillis monotonic milliseconds, not null
     * @param shares what of a limit is for this instance, not null
     */
    public TargetLimits(LongSupplier clockMillis, LimitShares shares) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
        this.shares = Objects.requireNonNull(shares, "shares");
    }

    /**
     * A target answered a call of this instance. That it names no limit counts only where the call was sent after the limit
     * was known: answers of several instances are not read in the order in which they were made.
     *
     * @param targetId the target's id, not null
     * @param perSecond the limit that the answer names, empty where it names none, not null
     * @param sentMillis when the call was sent, in monotonic milliseconds
     * @return what is new
     */
    public News answered(String targetId, OptionalDouble perSecond, long sentMillis) {
        Limit known = limits.get(targetId);
        if (perSecond.isPresent()) {
            return named(targetId, perSecond.getAsDouble(), clockMillis.getAsLong());
        }
        return known != null && sentMillis > known.statedMillis ? ended(targetId, clockMillis.getAsLong()) : News.NONE;
    }

    /**
     * Another instance tells what a target stated to it. A word that is older than what is known replaces nothing.
     *
     * @param targetId the target's id, not null
     * @param perSecond the limit, empty where the target names none any more, not null
     * @param statedMillis when the target stated it, in monotonic milliseconds of this instance
     * @return what is new
     */
    public News told(String targetId, OptionalDouble perSecond, long statedMillis) {
        Limit known = limits.get(targetId);
        if (perSecond.isEmpty()) {
            return known != null && statedMillis > known.statedMillis ? ended(targetId, statedMillis) : News.NONE;
        }
        if (known == null) {
            boolean over = statedMillis <= endedMillis.getOrDefault(targetId, Long.MIN_VALUE);
            return over ? News.NONE : named(targetId, perSecond.getAsDouble(), statedMillis);
        }
        known.heardMillis = clockMillis.getAsLong();
        return statedMillis > known.statedMillis ? named(targetId, perSecond.getAsDouble(), statedMillis) : News.NONE;
    }

    private News named(String targetId, double perSecond, long statedMillis) {
        long nowMillis = clockMillis.getAsLong();
        Limit known = limits.get(targetId);
        if (known == null) {
            TokenBucket unused = TokenBucket.empty(SHARE_KEPT_MILLIS, LEAST_KEPT_CALLS, nowMillis);
            limits.put(targetId, new Limit(unused, perSecond, statedMillis, nowMillis));
            return News.NAMED;
        }
        double before = known.perSecond;
        known.perSecond = perSecond;
        known.statedMillis = statedMillis;
        known.heardMillis = nowMillis;
        return before == perSecond ? News.NONE : News.CHANGED;
    }

    private News ended(String targetId, long atMillis) {
        limits.remove(targetId);
        endedMillis.put(targetId, atMillis);
        return News.ENDED;
    }

    /**
     * Forgets limits of which nothing was heard for a while. Those who have a share do not, and keep the others informed: a
     * call of theirs finds out.
     *
     * @return the targets whose limits have lapsed
     */
    public List<String> lapse() {
        long oldestMillis = clockMillis.getAsLong() - HEARD_MILLIS;
        endedMillis.values().removeIf(atMillis -> atMillis < oldestMillis);
        List<String> lapsed = new ArrayList<>();
        limits.forEach((id, limit) -> {
            boolean informed = limit.heardMillis >= oldestMillis;
            if (!informed && shares.sure() && !shares.holds(id, limit.perSecond)) {
                lapsed.add(id);
            }
        });
        lapsed.forEach(limits::remove);
        return lapsed;
    }

    /**
     * Returns the limits that this instance keeps the others informed of.
     *
     * @return what is believed, by target
     */
    public Map<String, Stated> kept() {
        Map<String, Stated> kept = new HashMap<>();
        limits.forEach((id, limit) -> {
            if (shares.holds(id, limit.perSecond)) {
                kept.put(id, new Stated(limit.perSecond, limit.statedMillis));
            }
        });
        return kept;
    }

    /**
     * Says whether a target is believed to be limited.
     *
     * @param targetId the target's id, not null
     * @return whether a limit that it named is in force
     */
    public boolean isLimited(String targetId) {
        return limits.containsKey(targetId);
    }

    /**
     * Returns how many targets are believed to be limited.
     *
     * @return the count over all services
     */
    public int count() {
        return limits.size();
    }

    /**
     * Says whether a call may go to a target now.
     *
     * @param targetId the target's id, not null
     * @return false where it is limited and this instance's share is used up, or it has none
     */
    public boolean hasRoom(String targetId) {
        Limit limit = limits.get(targetId);
        return limit == null || bucket(targetId, limit).canTake(1, clockMillis.getAsLong());
    }

    /**
     * Returns the targets that get no call from here now.
     *
     * @return the ids of those that are limited and have no room
     */
    public List<String> usedUp() {
        return limits.keySet().stream().filter(id -> !hasRoom(id)).sorted().toList();
    }

    /**
     * Takes a call from this instance's share, where the target is limited.
     *
     * @param targetId the target's id, not null
     * @return whether the call may go there
     */
    public boolean take(String targetId) {
        Limit limit = limits.get(targetId);
        if (limit == null) {
            return true;
        }
        TokenBucket bucket = bucket(targetId, limit);
        if (!bucket.canTake(1, clockMillis.getAsLong())) {
            return false;
        }
        bucket.take(1);
        return true;
    }

    /**
     * Returns when a target takes the next call, from here or, where this instance has no share, from another one.
     *
     * @param targetId the target's id, not null
     * @return milliseconds from now; zero where a call may go there at once
     */
    public long roomMillis(String targetId) {
        Limit limit = limits.get(targetId);
        if (limit == null) {
            return 0;
        }
        long nowMillis = clockMillis.getAsLong();
        TokenBucket bucket = bucket(targetId, limit);
        return shares.perSecond(targetId, limit.perSecond) > 0
                ? bucket.millisUntil(1, nowMillis)
                : Math.round(MILLIS_PER_SECOND / Math.max(limit.perSecond, 1 / MILLIS_PER_SECOND));
    }

    /**
     * A target is listed no more, or has started anew.
     *
     * @param targetId the target's id, not null
     */
    public void forget(String targetId) {
        limits.remove(targetId);
        endedMillis.remove(targetId);
    }

    private TokenBucket bucket(String targetId, Limit limit) {
        limit.bucket.setRate(shares.perSecond(targetId, limit.perSecond), clockMillis.getAsLong());
        return limit.bucket;
    }

    /**
     * A limit as its target stated it.
     *
     * @param perSecond the calls a second that it takes from all instances together
     * @param statedMillis when, in monotonic milliseconds of this instance
     */
    public record Stated(double perSecond, long statedMillis) {}

    private static final class Limit {

        private final TokenBucket bucket;
        private double perSecond;
        private long statedMillis;
        private long heardMillis;

        Limit(TokenBucket bucket, double perSecond, long statedMillis, long heardMillis) {
            this.bucket = bucket;
            this.perSecond = perSecond;
            this.statedMillis = statedMillis;
            this.heardMillis = heardMillis;
        }
    }
}
