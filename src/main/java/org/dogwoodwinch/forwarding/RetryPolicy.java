package org.dogwoodwinch.forwarding;

import java.util.function.BooleanSupplier;

/**
 * Decides whether a call is retried or answered after an attempt has ended. All such decisions are made here.
 *
 * @param maxFailedConnectsCount maximum number of attempts that fail before any byte is written; after one more, the
 *     caller is asked to retry later
 * @param maxRejectionsCount maximum number of targets that report that they did not run the call; after one more, the
 *     caller is asked to retry later
 * @param minRemainingMillis minimum remaining time with which another attempt can be answered in time
 * @param retryAfterMillis time after which a refused caller should retry
 */
public record RetryPolicy(
        int maxFailedConnectsCount, int maxRejectionsCount, long minRemainingMillis, long retryAfterMillis) {

    /** Callers follow a retry time of up to a third of their remaining time; a quarter leaves time for the answer. */
    private static final int REMAINING_DIVISOR = 4;

    /**
     * Returns the step that follows an attempt.
     *
     * @param outcome the outcome of the attempt that ended, not null
     * @param progress the attempts made so far, including this one, not null
     * @param tryTakeRetry takes one retry from the service's retry budget; called only if a retry is otherwise
     *     allowed
     * @return the next step
     */
    public NextStep nextStep(SendOutcome outcome, CallProgress progress, BooleanSupplier tryTakeRetry) {
        if (outcome instanceof SendOutcome.NotSent) {
            boolean attemptsLeft = progress.failedConnectsCount() <= maxFailedConnectsCount && isTimeLeft(progress);
            return attemptsLeft && (!progress.hasReachedTarget() || tryTakeRetry.getAsBoolean())
                    ? new NextStep.SendAgain()
                    : giveUp(progress);
        }
        if (outcome instanceof SendOutcome.Rejected || outcome instanceof SendOutcome.NotPrefilled) {
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
     * Ends a call for which no target is available.
     *
     * @param progress the attempts made so far, not null
     * @return a refusal if no target may have run the call
     */
    public NextStep giveUp(CallProgress progress) {
        long retryAfterWithCapacity = Math.max(retryAfterMillis, progress.untilCapacityMillis());
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
