package org.dogwoodwinch.time;

/**
 * Tokens that may be used at a rate that changes; what was estimated too low becomes a debt. Not thread-safe.
 *
 * <p>When the rate falls the bucket keeps no more than the new rate allows: what the rate's new holder may use at once must
 * not be used here as well.
 */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double capacityMillis;
    private final double leastCapacityTokens;
    private double heldTokens;
    private double tokensPerSecond;
    private long updatedMillis;

    private TokenBucket(double tokensPerSecond, double capacityMillis, double leastCapacityTokens, long nowMillis) {
        this.tokensPerSecond = tokensPerSecond;
        this.capacityMillis = capacityMillis;
        this.leastCapacityTokens = leastCapacityTokens;
        this.updatedMillis = nowMillis;
    }

    /**
     * Creates a bucket that holds all that it can.
     *
     * @param tokensPerSecond the rate
     * @param capacityMillis the time at the rate that fills it
     * @param nowMillis monotonic milliseconds
     * @return the bucket
     */
    public static TokenBucket full(double tokensPerSecond, double capacityMillis, long nowMillis) {
        TokenBucket bucket = new TokenBucket(tokensPerSecond, capacityMillis, 0, nowMillis);
        bucket.heldTokens = bucket.capacity();
        return bucket;
    }

    /**
     * Creates a bucket without a token and without a rate.
     *
     * @param capacityMillis the time at the rate that fills it
     * @param leastCapacityTokens what it can hold at least, however slow its rate
     * @param nowMillis monotonic milliseconds
     * @return the bucket
     */
    public static TokenBucket empty(double capacityMillis, double leastCapacityTokens, long nowMillis) {
        return new TokenBucket(0, capacityMillis, leastCapacityTokens, nowMillis);
    }

    /**
     * Changes the rate.
     *
     * @param newTokensPerSecond the rate from now on; nothing may be taken while it is zero
     * @param nowMillis monotonic milliseconds
     */
    public void setRate(double newTokensPerSecond, long nowMillis) {
        refill(nowMillis);
        tokensPerSecond = newTokensPerSecond;
        heldTokens = Math.min(heldTokens, capacity());
    }

    /**
     * Says whether so many tokens may be taken now. A request larger than the whole bucket may pass once the bucket is
     * full, and is paid off afterwards; else it would never pass.
     *
     * @param wanted the tokens
     * @param nowMillis monotonic milliseconds
     * @return whether they may be taken
     */
    public boolean canTake(long wanted, long nowMillis) {
        refill(nowMillis);
        return tokensPerSecond > 0 && heldTokens >= Math.min((double) wanted, capacity());
    }

    /**
     * Takes tokens, into debt where there are too few.
     *
     * @param wanted the tokens
     */
    public void take(long wanted) {
        heldTokens -= wanted;
    }

    /**
     * Corrects an estimate.
     *
     * @param usedBeyondEstimate tokens used beyond those taken; a negative difference gives tokens back
     */
    public void correct(long usedBeyondEstimate) {
        heldTokens = Math.min(capacity(), heldTokens - usedBeyondEstimate);
    }

    /**
     * Says how long it is until so many tokens may be taken.
     *
     * @param wanted the tokens
     * @param nowMillis monotonic milliseconds
     * @return milliseconds; zero where they may be taken now, or the rate is zero
     */
    public long millisUntil(long wanted, long nowMillis) {
        refill(nowMillis);
        double missing = Math.min((double) wanted, capacity()) - heldTokens;
        return missing <= 0 || tokensPerSecond <= 0
                ? 0
                : (long) Math.ceil(missing * MILLIS_PER_SECOND / tokensPerSecond);
    }

    private void refill(long nowMillis) {
        double earned = (nowMillis - updatedMillis) * tokensPerSecond / MILLIS_PER_SECOND;
        heldTokens = Math.min(capacity(), heldTokens + earned);
        updatedMillis = nowMillis;
    }

    private double capacity() {
        return Math.max(leastCapacityTokens, tokensPerSecond * capacityMillis / MILLIS_PER_SECOND);
    }
}
