package org.dogwoodwinch.forwarding;

import java.util.function.BooleanSupplier;

/**
 * Turns what is known of a send into an answer or another send: the one place where that is decided.
 *
 * @param maxFailedConnectsCount tries without a byte written after which the caller is told to come back
 * @param leastRemainingMillis the time below which another send cannot be answered in time
 * @param retryAfterMillis when a refused caller is told to come back
 */
public record RetryPolicy(int maxFailedConnectsCount, long leastRemainingMillis, long retryAfterMillis) {

    /**
     * Decides what follows.
     *
     * @param outcome what is known of the send that ended, not null
     * @param progress what was done so far, that send included, not null
     * @param budget takes one repeat from the service's retry budget; asked only where a repeat is otherwise allowed
     * @return the next step
     */
    public NextStep after(SendOutcome outcome, CallProgress progress, BooleanSupplier budget) {
        if (outcome instanceof SendOutcome.NotSent) {
            return afterNotSent(progress, budget);
        }
        if (outcome instanceof SendOutcome.Rejected) {
            return repeatAllowed(progress) && budget.getAsBoolean() ? new NextStep.SendAgain() : giveUp(progress);
        }
        if (outcome instanceof SendOutcome.Unknown) {
            boolean again = progress.idempotent() && repeatAllowed(progress) && budget.getAsBoolean();
            return again ? new NextStep.SendAgain() : new NextStep.FailUnknown();
        }
        boolean again = progress.idempotent() && repeatAllowed(progress) && budget.getAsBoolean();
        return again ? new NextStep.SendAgain() : new NextStep.RelayFailure();
    }

    /** The first send costs no budget, however often a connection could not be had; a later one is a repeat. */
    private NextStep afterNotSent(CallProgress progress, BooleanSupplier budget) {
        if (progress.failedConnectsCount() > maxFailedConnectsCount
                || progress.remainingMillis() < leastRemainingMillis) {
            return giveUp(progress);
        }
        return progress.sendsCount() == 0 || budget.getAsBoolean() ? new NextStep.SendAgain() : giveUp(progress);
    }

    private boolean repeatAllowed(CallProgress progress) {
        return progress.sendsCount() < progress.maxSendsCount() && progress.remainingMillis() >= leastRemainingMillis;
    }

    /** A refusal promises that the call never ran; after an unknown send nothing may be promised. */
    private NextStep giveUp(CallProgress progress) {
        return progress.mayHaveRun()
                ? new NextStep.FailUnknown()
                : new NextStep.Refuse(Math.min(retryAfterMillis, Math.max(0, progress.remainingMillis() / 4)));
    }
}
