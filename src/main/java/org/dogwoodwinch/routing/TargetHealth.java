package org.dogwoodwinch.routing;

/**
 * The health of one target as derived from the outcomes of attempts, independent of the target's own reports.
 *
 * <p>A target that fails is in back-off for a time that doubles with each failure, so that a flapping target costs few
 * requests; after the back-off, a single attempt probes it. The failure count outlasts the back-off: it decreases only
 * on a first token that arrives more than {@link #FAILURE_DECAY_MILLIS} after the last failure. Otherwise a target that
 * alternates between failure and success would start again at the shortest back-off each time.
 */
final class TargetHealth {

    private static final long INITIAL_BACKOFF_MILLIS = 500;
    private static final long MAX_BACKOFF_MILLIS = 30_000;
    private static final long FAILURE_DECAY_MILLIS = 20_000;
    private static final double SLOWDOWN_SMOOTHING_WEIGHT = 0.2;
    private static final double MAX_SLOWDOWN = 8;
    private static final long MIN_EXPECTED_MILLIS = 50;

    private int failureCount;
    private long backoffUntilMillis;
    private long lastFailureMillis;
    private boolean probing;
    private double slowdown = 1;

    boolean isUsable(long nowMillis) {
        return nowMillis >= backoffUntilMillis && !probing;
    }

    /**
     * Returns the factor applied to the score: the moving average of the actual over the expected time to first token.
     */
    double slowdown() {
        return slowdown;
    }

    void onSent() {
        probing = failureCount > 0;
    }

    void onFirstToken(long elapsedMillis, long expectedMillis, long nowMillis) {
        probing = false;
        double ratio = elapsedMillis / (double) Math.max(MIN_EXPECTED_MILLIS, expectedMillis);
        double boundedRatio = Math.max(1, Math.min(MAX_SLOWDOWN, ratio));
        slowdown += SLOWDOWN_SMOOTHING_WEIGHT * (boundedRatio - slowdown);
        if (failureCount > 0 && nowMillis - lastFailureMillis > FAILURE_DECAY_MILLIS) {
            failureCount--;
        }
    }

    void onFailure(long nowMillis) {
        probing = false;
        failureCount = Math.min(failureCount + 1, Long.SIZE - 1);
        lastFailureMillis = nowMillis;
        long backoffMillis = INITIAL_BACKOFF_MILLIS << Math.min(failureCount - 1, 10);
        backoffUntilMillis = nowMillis + Math.min(MAX_BACKOFF_MILLIS, backoffMillis);
    }

    void onAttemptEnded() {
        probing = false;
    }
}
