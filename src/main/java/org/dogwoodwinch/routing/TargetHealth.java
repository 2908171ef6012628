package org.dogwoodwinch.routing;

/**
 * What outcomes say of one target, whatever its own reports say.
 *
 * <p>A target that fails is held back for a time that doubles with each failure in a row, so that one that flaps costs
 * few requests; after the hold a single attempt probes it. A hold ends the punishment, not the memory: the next hold is
 * shorter only after a spell without failures, or a target that alternates would be trusted anew each time.
 */
final class TargetHealth {

    private static final long FIRST_HOLD_MILLIS = 500;
    private static final long LONGEST_HOLD_MILLIS = 30_000;
    private static final long FORGIVE_MILLIS = 20_000;
    private static final double SLOWNESS_WEIGHT = 0.2;
    private static final double GREATEST_SLOWNESS = 8;
    private static final long SMALLEST_EXPECTATION_MILLIS = 50;

    private int strikes;
    private long heldUntilMillis;
    private long lastFailureMillis;
    private boolean probing;
    private double slowness = 1;

    boolean usable(long nowMillis) {
        return nowMillis >= heldUntilMillis && !probing;
    }

    /** The score's factor: how much longer first tokens took than was expected, averaged. */
    double slowness() {
        return slowness;
    }

    void onSent() {
        probing = strikes > 0;
    }

    void onFirstToken(long elapsedMillis, long expectedMillis, long nowMillis) {
        probing = false;
        double ratio = elapsedMillis / (double) Math.max(SMALLEST_EXPECTATION_MILLIS, expectedMillis);
        double bounded = Math.max(1, Math.min(GREATEST_SLOWNESS, ratio));
        slowness += SLOWNESS_WEIGHT * (bounded - slowness);
        if (strikes > 0 && nowMillis - lastFailureMillis > FORGIVE_MILLIS) {
            strikes--;
        }
    }

    void onFailure(long nowMillis) {
        probing = false;
        strikes = Math.min(strikes + 1, Long.SIZE - 1);
        lastFailureMillis = nowMillis;
        long hold = FIRST_HOLD_MILLIS << Math.min(strikes - 1, 10);
        heldUntilMillis = nowMillis + Math.min(LONGEST_HOLD_MILLIS, hold);
    }

    void onNeutralEnd() {
        probing = false;
    }
}
