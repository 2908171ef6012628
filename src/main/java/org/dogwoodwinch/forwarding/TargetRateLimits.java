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
 * Tracks the rate limits that targets state in their answers, and this instance's use of its share. Not thread-safe.
 *
 * <p>Failure: an overloaded target states the calls per second that it accepts from all instances together, and the
 * instances send as many as before; the target falls behind with all calls that it has accepted. Every call that
 * arrives there counts, even one that it rejects. Each attempt therefore takes a call from this instance's share
 * before a connection is taken for it.
 */
public final class TargetRateLimits {

    /** An unused share expires after this time: an overloaded target should receive no burst. */
    private static final double BURST_MILLIS = 250;

    /**
     * Minimum size of the token bucket however small the share is, so that a call that falls due while none is
     * waiting is not lost.
     */
    private static final double MIN_BURST_CALLS = 1.5;

    /** Allows for several reports of the share holders, and for their successors to take over reporting. */
    private static final long REPORT_TTL_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The change of a target's known rate limit. */
    public enum LimitChange {
        /** The limit is unchanged. */
        NONE,
        /** The target states a limit, and stated none before. */
        NAMED,
        /** The target states a different limit. */
        CHANGED,
        /** The target no longer states a limit. */
        ENDED,
        /** No instance has reported the limit for some time. */
        LAPSED
    }

    private final LongSupplier clockMillis;
    private final RateLimitShares shares;
    private final Map<String, LimitState> limits = new HashMap<>();
    private final Map<String, Long> endedMillisByTarget = new HashMap<>();

    /**
     * Creates an instance without limits.
     *
     * @param clockMillis monotonic milliseconds, not null
     * @param shares the shares of this instance, not null
     */
    public TargetRateLimits(LongSupplier clockMillis, RateLimitShares shares) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
        this.shares = Objects.requireNonNull(shares, "shares");
    }

    /**
     * Records the answer to a call of this instance. An answer without a limit ends the limit only if the call was
     * sent after the limit was stated: answers are not processed in the order in which the target made them.
     *
     * @param targetId the target's id, not null
     * @param callsPerSecond the limit that the answer states, empty if it states none, not null
     * @param sentMillis time at which the call was sent, in monotonic milliseconds
     * @return the change
     */
    public LimitChange recordAnswer(String targetId, OptionalDouble callsPerSecond, long sentMillis) {
        LimitState limit = limits.get(targetId);
        if (callsPerSecond.isPresent()) {
            return setLimit(targetId, callsPerSecond.getAsDouble(), clockMillis.getAsLong());
        }
        return limit != null && sentMillis > limit.statedMillis
                ? endLimit(targetId, clockMillis.getAsLong())
                : LimitChange.NONE;
    }

    /**
     * Records what another instance reports about a target's limit. A report that is older than the known state is
     * ignored.
     *
     * @param targetId the target's id, not null
     * @param callsPerSecond the limit, empty if the target no longer states one, not null
     * @param statedMillis time of the target's statement, in monotonic milliseconds of this instance
     * @return the change
     */
    public LimitChange recordPeerReport(String targetId, OptionalDouble callsPerSecond, long statedMillis) {
        LimitState limit = limits.get(targetId);
        if (callsPerSecond.isEmpty()) {
            return limit != null && statedMillis > limit.statedMillis
                    ? endLimit(targetId, statedMillis)
                    : LimitChange.NONE;
        }
        if (limit == null) {
            boolean alreadyEnded = statedMillis <= endedMillisByTarget.getOrDefault(targetId, Long.MIN_VALUE);
            return alreadyEnded ? LimitChange.NONE : setLimit(targetId, callsPerSecond.getAsDouble(), statedMillis);
        }
        limit.lastReportMillis = clockMillis.getAsLong();
        return statedMillis > limit.statedMillis
                ? setLimit(targetId, callsPerSecond.getAsDouble(), statedMillis)
                : LimitChange.NONE;
    }

    private LimitChange setLimit(String targetId, double callsPerSecond, long statedMillis) {
        long nowMillis = clockMillis.getAsLong();
        LimitState limit = limits.get(targetId);
        if (limit == null) {
            TokenBucket unused = TokenBucket.empty(BURST_MILLIS, MIN_BURST_CALLS, nowMillis);
            limits.put(targetId, new LimitState(unused, callsPerSecond, statedMillis, nowMillis));
            return LimitChange.NAMED;
        }
        double before = limit.callsPerSecond;
        limit.callsPerSecond = callsPerSecond;
        limit.statedMillis = statedMillis;
        limit.lastReportMillis = nowMillis;
        return before == callsPerSecond ? LimitChange.NONE : LimitChange.CHANGED;
    }

    private LimitChange endLimit(String targetId, long atMillis) {
        limits.remove(targetId);
        endedMillisByTarget.put(targetId, atMillis);
        return LimitChange.ENDED;
    }

    /**
     * Removes the limits that were not reported for some time, unless this instance is a share holder. The share
     * holders keep their limits and report them to the other instances; one of their calls detects the end of the
     * limit.
     *
     * @return the ids of the targets whose limits were removed
     */
    public List<String> expire() {
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
     * Returns the limits that this instance reports to the others.
     *
     * @return the known limits by target id
     */
    public Map<String, StatedLimit> heldLimits() {
        Map<String, StatedLimit> held = new HashMap<>();
        limits.forEach((id, limit) -> {
            if (shares.isShareHolder(id, limit.callsPerSecond)) {
                held.put(id, new StatedLimit(limit.callsPerSecond, limit.statedMillis));
            }
        });
        return held;
    }

    /**
     * Returns whether a target is rate-limited.
     *
     * @param targetId the target's id, not null
     * @return whether a limit stated by the target is in force
     */
    public boolean isRateLimited(String targetId) {
        return limits.containsKey(targetId);
    }

    /**
     * Returns the number of rate-limited targets.
     *
     * @return the number over all services
     */
    public int limitedCount() {
        return limits.size();
    }

    /**
     * Returns whether a call may be sent to a target now.
     *
     * @param targetId the target's id, not null
     * @return false if the target is rate-limited and this instance has no share or has used it up
     */
    public boolean hasCapacity(String targetId) {
        LimitState limit = limits.get(targetId);
        return limit == null || refreshedBucket(targetId, limit).canTake(1, clockMillis.getAsLong());
    }

    /**
     * Returns the targets to which this instance may send no call now.
     *
     * @return the sorted ids of the targets that are rate-limited and have no capacity for this instance
     */
    public List<String> exhaustedTargetIds() {
        return limits.keySet().stream().filter(id -> !hasCapacity(id)).sorted().toList();
    }

    /**
     * Takes a call from this instance's share if the target is rate-limited.
     *
     * @param targetId the target's id, not null
     * @return whether the call may be sent
     */
    public boolean tryTake(String targetId) {
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
     * Returns when a target accepts the next call, from this instance or, if this instance has no share, from another
     * one.
     *
     * @param targetId the target's id, not null
     * @return the time from now in milliseconds; zero if a call may be sent at once
     */
    public long millisUntilCapacity(String targetId) {
        LimitState limit = limits.get(targetId);
        if (limit == null) {
            return 0;
        }
        long nowMillis = clockMillis.getAsLong();
        TokenBucket bucket = refreshedBucket(targetId, limit);
        return shares.sharePerSecond(targetId, limit.callsPerSecond) > 0
                ? bucket.millisUntil(1, nowMillis)
                : Math.round(MILLIS_PER_SECOND / Math.max(limit.callsPerSecond, 1 / MILLIS_PER_SECOND));
    }

    /**
     * Removes a target that is no longer listed or has restarted.
     *
     * @param targetId the target's id, not null
     */
    public void remove(String targetId) {
        limits.remove(targetId);
        endedMillisByTarget.remove(targetId);
    }

    private TokenBucket refreshedBucket(String targetId, LimitState limit) {
        limit.bucket.setRate(shares.sharePerSecond(targetId, limit.callsPerSecond), clockMillis.getAsLong());
        return limit.bucket;
    }

    /**
     * A rate limit as stated by its target.
     *
     * @param callsPerSecond the calls per second that the target accepts from all instances together
     * @param statedMillis time of the statement, in monotonic milliseconds of this instance
     */
    public record StatedLimit(double callsPerSecond, long statedMillis) {}

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
