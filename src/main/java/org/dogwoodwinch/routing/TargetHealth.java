package org.dogwoodwinch.routing;

/**
 * What outcomes say of one target, whatever its own reports say.
 *
 * <p>A target that fails is held back for a time that doubles with each failure in a row, so that one that flaps costs
 * few requests; after the hold a single attempt probes it. A hold ends the punishment, not the memory: the next hold is
 * shorter only after a spell without failures, or a target that alternates would be trusted anew each time.
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

    /** The score's factor: how much longer first tokens took than was expected, averaged. */
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
