package org.dogwoodwinch.admission;

import java.util.Optional;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.time.TokenBucket;

/** The limits of one owner or one entry on this instance. Used under the {@link ShareExchange}'s monitor. */
final class LimitScope {

    /** A token rate is shared in this many units. */
    static final long RATE_UNITS = 64;

    /** How much of its rate an owner may use at once. */
    private static final double BURST_MILLIS = 2_000;

    private static final long RATE_GRANT_TERM_MILLIS = 10_000;
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 500;

    private final String name;
    private final ShareExchange limitShares;
    private Limits limits;
    private TokenBucket bucket;
    private long unmetRequests;
    private long unmetTokens;
    private long unmetTermMillis;

    LimitScope(String name, ShareExchange limitShares, Limits limits) {
        this.name = name;
        this.limitShares = limitShares;
        this.limits = limits;
        setLimits(limits);
    }

    /** Takes new limits, and makes them known to the exchange, so that this instance lends where it has no demand. */
    void setLimits(Limits newLimits) {
        limits = newLimits;
        if (limits.maxConcurrent() > 0) {
            concurrencyAllocation();
        }
        if (limits.tokensPerSecond() > 0) {
            rateAllocation();
        }
    }

    /** Why a request may not start for this scope; empty where it may. */
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

    /** Takes a place; call it after {@link #checkTokenRate}. Empty where no unit is free until the given time. */
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

    /** Tells the ledgers what was blocked since the last call; they ask the peers for as much. */
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
     * Why a request may not start.
     *
     * @param reason the refusal's reason
     * @param scope the owner or entry whose limit it is
     * @param retryAfterMillis when to come back, in milliseconds
     */
    record LimitReached(RefusalReason reason, String scope, long retryAfterMillis) {}
}
