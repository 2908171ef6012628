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
    private static final double BUCKET_MILLIS = 2_000;

    private static final long RATE_TERM_MILLIS = 10_000;
    private static final long LONGEST_RETRY_MILLIS = 5_000;
    private static final long RETRY_MILLIS = 500;

    private final String name;
    private final ShareExchange shares;
    private Limits limits;
    private TokenBucket bucket;
    private long blockedRequests;
    private long blockedTokens;
    private long blockedTermMillis;

    LimitScope(String name, ShareExchange shares, Limits limits) {
        this.name = name;
        this.shares = shares;
        this.limits = limits;
        setLimits(limits);
    }

    /** Takes new limits, and makes them known to the exchange, so that this instance lends where it has no demand. */
    void setLimits(Limits newLimits) {
        limits = newLimits;
        if (limits.maxConcurrent() > 0) {
            concurrency();
        }
        if (limits.tokensPerSecond() > 0) {
            rate();
        }
    }

    /** Why a request may not start for this scope; empty where it may. */
    Optional<Blocked> check(long tokens, long nowMillis) {
        if (limits.tokensPerSecond() > 0) {
            TokenBucket tokenBucket = refreshedBucket(nowMillis);
            long waitMillis = tokenBucket.millisUntil(tokens, nowMillis);
            if (!tokenBucket.canTake(tokens, nowMillis)) {
                blockedTokens += tokens;
                long retryMillis = Math.min(LONGEST_RETRY_MILLIS, Math.max(RETRY_MILLIS, waitMillis));
                return Optional.of(new Blocked(RefusalReason.TOKEN_RATE_LIMIT, name, retryMillis));
            }
        }
        return Optional.empty();
    }

    /** Takes a place; call it after {@link #check}. Empty where no unit is free until the given time. */
    Optional<ShareLedger.Use> takePlace(long untilMillis, long nowMillis) {
        if (limits.maxConcurrent() <= 0) {
            return Optional.of(() -> {});
        }
        Optional<ShareLedger.Use> use = concurrency().tryUse(untilMillis, nowMillis);
        if (use.isEmpty()) {
            blockedRequests++;
            blockedTermMillis = Math.max(blockedTermMillis, untilMillis - nowMillis);
        }
        return use;
    }

    Blocked concurrencyBlocked() {
        return new Blocked(RefusalReason.CONCURRENCY_LIMIT, name, RETRY_MILLIS);
    }

    void takeTokens(long tokens, long nowMillis) {
        if (limits.tokensPerSecond() > 0) {
            refreshedBucket(nowMillis).take(tokens);
            rate().touch(nowMillis);
        }
    }

    void correctTokens(long usedBeyondEstimate) {
        if (bucket != null) {
            bucket.correct(usedBeyondEstimate);
        }
    }

    /** Tells the ledgers what was blocked since the last call; they ask the peers for as much. */
    void reportWaiting() {
        if (limits.maxConcurrent() > 0) {
            concurrency().setWaiting(blockedRequests, 2 * blockedTermMillis);
        }
        if (limits.tokensPerSecond() > 0) {
            long unitTokens = Math.max(1, limits.tokensPerSecond() / RATE_UNITS);
            rate().setWaiting(Math.min(RATE_UNITS, (blockedTokens + unitTokens - 1) / unitTokens), RATE_TERM_MILLIS);
        }
        blockedRequests = 0;
        blockedTokens = 0;
        blockedTermMillis = 0;
    }

    private TokenBucket refreshedBucket(long nowMillis) {
        double perSecond = rate().heldUnits(nowMillis) * (double) limits.tokensPerSecond() / RATE_UNITS;
        if (bucket == null) {
            bucket = TokenBucket.full(perSecond, BUCKET_MILLIS, nowMillis);
        }
        bucket.setRate(perSecond, nowMillis);
        return bucket;
    }

    private ShareLedger concurrency() {
        return shares.ledger(name + "/concurrent", limits.maxConcurrent());
    }

    private ShareLedger rate() {
        return shares.ledger(name + "/tokens", RATE_UNITS);
    }

    /**
     * Why a request may not start.
     *
     * @param reason the refusal's reason
     * @param scope the owner or entry whose limit it is
     * @param retryAfterMillis when to come back, in milliseconds
     */
    record Blocked(RefusalReason reason, String scope, long retryAfterMillis) {}
}
