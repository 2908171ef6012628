package org.dogwoodwinch.admission;

/**
 * Tokens that may be used at a rate that changes; what was estimated too low becomes a debt.
 *
 * <p>The bucket holds two seconds of its rate. When the rate falls it keeps no more than the new rate allows: what the
 * rate's new holder may use at once must not be used here as well.
 */
final class TokenBucket {

    private static final double CAPACITY_MILLIS = 2_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double heldTokens;
    private double tokensPerSecond;
    private long updatedMillis;

    TokenBucket(double tokensPerSecond, long nowMillis) {
        this.tokensPerSecond = tokensPerSecond;
        this.heldTokens = capacity();
        this.updatedMillis = nowMillis;
    }

    void setRate(double newTokensPerSecond, long nowMillis) {
        refill(nowMillis);
        tokensPerSecond = newTokensPerSecond;
        heldTokens = Math.min(heldTokens, capacity());
    }

    /**
     * Says whether so many tokens may be taken now. A request larger than the whole bucket may pass once the bucket is
     * full, and is paid off afterwards; else it would never pass.
     */
    boolean canTake(long wanted, long nowMillis) {
        refill(nowMillis);
        return tokensPerSecond > 0 && heldTokens >= Math.min((double) wanted, capacity());
    }

    void take(long wanted) {
        heldTokens -= wanted;
    }

    /** Corrects an estimate: a negative difference gives tokens back. */
    void correct(long usedBeyondEstimate) {
        heldTokens = Math.min(capacity(), heldTokens - usedBeyondEstimate);
    }

    long millisUntil(long wanted, long nowMillis) {
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
        return tokensPerSecond * CAPACITY_MILLIS / MILLIS_PER_SECOND;
    }
}
