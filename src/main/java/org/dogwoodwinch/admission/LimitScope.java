package org.dogwoodwinch.admission;

import java.util.Optional;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.time.TokenBucket;

/**
 * Enforces the limits of one owner or one entry on this instance. Not thread-safe: callers hold the monitor of the
 * {@link LimitShareExchange}.
 */
final class LimitScope {

    /** Number of units into which a token rate is divided for sharing among the instances. */
    static final long RATE_UNITS = 64;

    /** Maximum burst of a token rate, as the time in which the rate yields that many tokens. */
    private static final double BURST_MILLIS = 2_000;

    private static final long RATE_GRANT_TERM_MILLIS = 10_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    private final String name;
    private final LimitShareExchange limitShares;
    private Limits limits;
    private TokenBucket bucket;
    private long unmetRequests;
    private long unmetTokens;
    private long unmetTermMillis;

    LimitScope(String name, LimitShareExchange limitShares, Limits limits) {
        this.name = name;
        this.limitShares = limitShares;
        this.limits = limits;
        setLimits(limits);
    }

    /**
     * Sets new limits and creates their allocations in the exchange, so that this instance lends units even if it has
     * no demand of its own.
     */
    void setLimits(Limits newLimits) {
        limits = newLimits;
        if (limits.maxConcurrent() > 0) {
            concurrencyAllocation();
        }
        if (limits.tokensPerSecond() > 0) {
            rateAllocation();
        }
    }

    /** Returns why the token rate does not permit a request to start now; empty if it does. */
    Optional<LimitReached> checkTokenRate(long tokens, long nowMillis) {
        if (limits.tokensPerSecond() > 0) {
            TokenBucket tokenBucket = refreshedBucket(nowMillis);
            long waitMillis = tokenBucket.millisUntil(tokens, nowMillis);
            if (!tokenBucket.canTake(tokens, nowMillis)) {
                unmetTokens += tokens;
                long retryAfterMillis = Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis));
                return Optional.of(new LimitReached(RefusalReason.TOKEN_RATE_LIMIT, name, retryAfterMillis));
            }
        }
        return Optional.empty();
    }

    /**
     * Acquires a unit of the concurrency limit; to be called after {@link #checkTokenRate}. Returns empty if no unit is
     * available until the given time.
     */
    Optional<LimitAllocation.AcquiredUnit> tryAcquireConcurrency(long untilMillis, long nowMillis) {
        if (limits.maxConcurrent() <= 0) {
            return Optional.of(() -> {});
        }
        Optional<LimitAllocation.AcquiredUnit> unit = concurrencyAllocation().tryAcquire(untilMillis, nowMillis);
        if (unit.isEmpty()) {
            unmetRequests++;
            unmetTermMillis = Math.max(unmetTermMillis, untilMillis - nowMillis);
        }
        return unit;
    }

    LimitReached concurrencyLimitReached() {
        return new LimitReached(RefusalReason.CONCURRENCY_LIMIT, name, MIN_RETRY_AFTER_MILLIS);
    }

    void takeTokens(long tokens, long nowMillis) {
        if (limits.tokensPerSecond() > 0) {
            refreshedBucket(nowMillis).take(tokens);
            rateAllocation().markUsed(nowMillis);
        }
    }

    void correctTokens(long tokensAboveEstimate) {
        if (bucket != null) {
            bucket.correct(tokensAboveEstimate);
        }
    }

    /**
     * Sets the demand of the allocations to what was blocked since the last call; they request as much from the peers.
     */
    void reportDemand() {
        if (limits.maxConcurrent() > 0) {
            concurrencyAllocation().setDemand(unmetRequests, 2 * unmetTermMillis);
        }
        if (limits.tokensPerSecond() > 0) {
            long unitTokens = Math.max(1, limits.tokensPerSecond() / RATE_UNITS);
            rateAllocation()
                    .setDemand(
                            Math.min(RATE_UNITS, (unmetTokens + unitTokens - 1) / unitTokens), RATE_GRANT_TERM_MILLIS);
        }
        unmetRequests = 0;
        unmetTokens = 0;
        unmetTermMillis = 0;
    }

    private TokenBucket refreshedBucket(long nowMillis) {
        double tokensPerSecond = rateAllocation().heldUnits(nowMillis) * (double) limits.tokensPerSecond() / RATE_UNITS;
        if (bucket == null) {
            bucket = TokenBucket.full(tokensPerSecond, BURST_MILLIS, nowMillis);
        }
        bucket.setRate(tokensPerSecond, nowMillis);
        return bucket;
    }

    private LimitAllocation concurrencyAllocation() {
        return limitShares.allocation(name + "/concurrent", limits.maxConcurrent());
    }

    private LimitAllocation rateAllocation() {
        return limitShares.allocation(name + "/tokens", RATE_UNITS);
    }

    /**
     * The limit that prevents a request from starting.
     *
     * @param reason the reason to report in a refusal
     * @param scope the name of the owner or entry that the limit belongs to
     * @param retryAfterMillis time after which the caller should retry, in milliseconds
     */
    record LimitReached(RefusalReason reason, String scope, long retryAfterMillis) {}
}
