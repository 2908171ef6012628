package org.dogwoodwinch.forwarding;

import java.util.function.BooleanSupplier;

/**
 * Turns what is known of a send into an answer or another send: the one place where that is decided.
 *
 * @param maxFailedConnectsCount tries without a byte written after which the caller is told to come back
 * @param maxRejectionsCount targets that may state that they did not run the call before the caller is told to come back
 * @param minRemainingMillis the time below which another send cannot be answered in time
 * @param retryAfterMillis when a refused caller is told to come back
 */
public record RetryPolicy(
        int maxFailedConnectsCount, int maxRejectionsCount, long minRemainingMillis, long retryAfterMillis) {

    /** Callers heed a time to come back up to a third of what they have left; a quarter leaves room for the answer. */
    private static final int REMAINING_DIVISOR = 4;

    /**
     * Decides what follows.
     *
     * @param outcome what is known of the send that ended, not null
     * @param progress what was done so far, that send included, not null
     * @param tryTakeRetry takes one repeat from the service's retry budget; asked only where a repeat is otherwise allowed
     * @return the next step
     */
    public NextStep after(SendOutcome outcome, CallProgress progress, BooleanSupplier tryTakeRetry) {
        if (outcome instanceof SendOutcome.NotSent) {
            boolean attemptsLeft = progress.failedConnectsCount() <= maxFailedConnectsCount && isTimeLeft(progress);
            return attemptsLeft && (!progress.sent() || tryTakeRetry.getAsBoolean())
                    ? new NextStep.SendAgain()
                    : giveUp(progress);
        }
        if (outcome instanceof SendOutcome.Rejected || outcome instanceof SendOutcome.NotRead) {
            boolean attemptsLeft = progress.rejectionsCount() <= maxRejectionsCount && isTimeLeft(progress);
            return attemptsLeft && isAnotherRunAllowed(progress) && tryTakeRetry.getAsBoolean()
                    ? new NextStep.SendAgain()
                    : giveUp(progress);
        }
        boolean mayRunAgain = progress.idempotent() && isAnotherRunAllowed(progress) && isTimeLeft(progress);
        if (mayRunAgain && tryTakeRetry.getAsBoolean()) {
            return new NextStep.SendAgain();
        }
        return outcome instanceof SendOutcome.RanAndFailed ? new NextStep.RelayFailure() : new NextStep.FailUnknown();
    }

    /**
     * Ends a call for which no target can be had.
     *
     * @param progress what was done so far, not null
     * @return a refusal where nothing may have run
     */
    public NextStep giveUp(CallProgress progress) {
        return giveUp(progress, 0);
    }

    /**
     * Ends a call for which no target can be had before a time that is known.
     *
     * @param progress what was done so far, not null
     * @param untilCapacityMillis when a target may have room
     * @return a refusal where nothing may have run
     */
    public NextStep giveUp(CallProgress progress, long untilCapacityMillis) {
        long retryAfterWithCapacity = Math.max(retryAfterMillis, untilCapacityMillis);
        return progress.mayHaveRun()
                ? new NextStep.FailUnknown()
                : new NextStep.Refuse(
                        Math.min(retryAfterWithCapacity, Math.max(0, progress.remainingMillis() / REMAINING_DIVISOR)));
    }

    private boolean isTimeLeft(CallProgress progress) {
        return progress.remainingMillis() >= minRemainingMillis;
    }

    private static boolean isAnotherRunAllowed(CallProgress progress) {
        return progress.possibleRunsCount() < progress.maxRunsCount();
    }
}
