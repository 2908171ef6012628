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
    private static final double BURST_MILLIS = 250;

    /** Kept however slow the share is, so that what falls due while no call comes by is not lost. */
    private static final double MIN_BURST_CALLS = 1.5;

    /** Several words of those who keep the others informed, and time for their successors to do so. */
    private static final long REPORT_TTL_MILLIS = 10_000;

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
    private final Map<String, LimitState> limits = new HashMap<>();
    private final Map<String, Long> endedMillisByTarget = new HashMap<>();

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
     * @param callsPerSecond the limit that the answer names, empty where it names none, not null
     * @param sentMillis when the call was sent, in monotonic milliseconds
     * @return what is new
     */
    public News answered(String targetId, OptionalDouble callsPerSecond, long sentMillis) {
        LimitState limit = limits.get(targetId);
        if (callsPerSecond.isPresent()) {
            return setLimit(targetId, callsPerSecond.getAsDouble(), clockMillis.getAsLong());
        }
        return limit != null && sentMillis > limit.statedMillis
                ? endLimit(targetId, clockMillis.getAsLong())
                : News.NONE;
    }

    /**
     * Another instance tells what a target stated to it. A word that is older than what is known replaces nothing.
     *
     * @param targetId the target's id, not null
     * @param callsPerSecond the limit, empty where the target names none any more, not null
     * @param statedMillis when the target stated it, in monotonic milliseconds of this instance
     * @return what is new
     */
    public News told(String targetId, OptionalDouble callsPerSecond, long statedMillis) {
        LimitState limit = limits.get(targetId);
        if (callsPerSecond.isEmpty()) {
            return limit != null && statedMillis > limit.statedMillis ? endLimit(targetId, statedMillis) : News.NONE;
        }
        if (limit == null) {
            boolean alreadyEnded = statedMillis <= endedMillisByTarget.getOrDefault(targetId, Long.MIN_VALUE);
            return alreadyEnded ? News.NONE : setLimit(targetId, callsPerSecond.getAsDouble(), statedMillis);
        }
        limit.lastReportMillis = clockMillis.getAsLong();
        return statedMillis > limit.statedMillis
                ? setLimit(targetId, callsPerSecond.getAsDouble(), statedMillis)
                : News.NONE;
    }

    private News setLimit(String targetId, double callsPerSecond, long statedMillis) {
        long nowMillis = clockMillis.getAsLong();
        LimitState limit = limits.get(targetId);
        if (limit == null) {
            TokenBucket unused = TokenBucket.empty(BURST_MILLIS, MIN_BURST_CALLS, nowMillis);
            limits.put(targetId, new LimitState(unused, callsPerSecond, statedMillis, nowMillis));
            return News.NAMED;
        }
        double before = limit.callsPerSecond;
        limit.callsPerSecond = callsPerSecond;
        limit.statedMillis = statedMillis;
        limit.lastReportMillis = nowMillis;
        return before == callsPerSecond ? News.NONE : News.CHANGED;
    }

    private News endLimit(String targetId, long atMillis) {
        limits.remove(targetId);
        endedMillisByTarget.put(targetId, atMillis);
        return News.ENDED;
    }

    /**
     * Forgets limits of which nothing was heard for a while. Those who have a share do not, and keep the others informed: a
     * call of theirs finds out.
     *
     * @return the targets whose limits have lapsed
     */
    public List<String> lapse() {
        long oldestMillis = clockMillis.getAsLong() - REPORT_TTL_MILLIS;
        endedMillisByTarget.values().removeIf(atMillis -> atMillis < oldestMillis);
        List<String> expired = new ArrayList<>();
        limits.forEach((id, limit) -> {
            boolean isFresh = limit.lastReportMillis >= oldestMillis;
            if (!isFresh && shares.isMembershipKnown() && !shares.isShareHolder(id, limit.callsPerSecond)) {
                expired.add(id);
            }
        });
        expired.forEach(limits::remove);
        return expired;
    }

    /**
     * Returns the limits that this instance keeps the others informed of.
     *
     * @return what is believed, by target
     */
    public Map<String, StatedLimit> kept() {
        Map<String, StatedLimit> held = new HashMap<>();
        limits.forEach((id, limit) -> {
            if (shares.isShareHolder(id, limit.callsPerSecond)) {
                held.put(id, new StatedLimit(limit.callsPerSecond, limit.statedMillis));
            }
        });
        return held;
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
        LimitState limit = limits.get(targetId);
        return limit == null || refreshedBucket(targetId, limit).canTake(1, clockMillis.getAsLong());
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
        LimitState limit = limits.get(targetId);
        if (limit == null) {
            return true;
        }
        TokenBucket bucket = refreshedBucket(targetId, limit);
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
        LimitState limit = limits.get(targetId);
        if (limit == null) {
            return 0;
        }
        long nowMillis = clockMillis.getAsLong();
        TokenBucket bucket = refreshedBucket(targetId, limit);
        return shares.perSecond(targetId, limit.callsPerSecond) > 0
                ? bucket.millisUntil(1, nowMillis)
                : Math.round(MILLIS_PER_SECOND / Math.max(limit.callsPerSecond, 1 / MILLIS_PER_SECOND));
    }

    /**
     * A target is listed no more, or has started anew.
     *
     * @param targetId the target's id, not null
     */
    public void forget(String targetId) {
        limits.remove(targetId);
        endedMillisByTarget.remove(targetId);
    }

    private TokenBucket refreshedBucket(String targetId, LimitState limit) {
        limit.bucket.setRate(shares.perSecond(targetId, limit.callsPerSecond), clockMillis.getAsLong());
        return limit.bucket;
    }

    /**
     * A limit as its target stated it.
     *
     * @param perSecond the calls a second that it takes from all instances together
     * @param statedMillis when, in monotonic milliseconds of this instance
     */
    public record StatedLimit(double perSecond, long statedMillis) {}

    private static final class LimitState {

        private final TokenBucket bucket;
        private double callsPerSecond;
        private long statedMillis;
        private long lastReportMillis;

        LimitState(TokenBucket bucket, double callsPerSecond, long statedMillis, long lastReportMillis) {
            this.bucket = bucket;
            this.callsPerSecond = callsPerSecond;
            this.statedMillis = statedMillis;
            this.lastReportMillis = lastReportMillis;
        }
    }
}
