package org.dogwoodwinch.request;

import org.dogwoodwinch.target.TargetFailure;

/** Decides whether a failed attempt may be retried. The retry budget and the deadline are checked afterwards. */
@FunctionalInterface
public interface RetryPolicy {

    /** The retry delay returned to the caller if an overloaded target did not specify one. */
    long OVERLOAD_RETRY_AFTER_MILLIS = 1_000;

    /**
     * The policy used in production. A request that is not repeatable is retried only after proof that it did not run.
     * No request is retried after an overload refusal, because the next target is likely as busy and a retry adds load.
     */
    RetryPolicy STANDARD = RetryPolicy::decideStandard;

    /**
     * Decides whether to retry after a failed attempt.
     *
     * @param repeatable whether the request may run more than once
     * @param failure the failure of the attempt, not null
     * @return the decision
     */
    RetryDecision decide(boolean repeatable, TargetFailure failure);

    private static RetryDecision decideStandard(boolean repeatable, TargetFailure failure) {
        if (failure instanceof TargetFailure.Refused refused) {
            return decideRefused(refused);
        }
        if (failure instanceof TargetFailure.NotSent) {
            return new RetryDecision.Retry(RetryReason.NOT_SENT);
        }
        if (!repeatable) {
            return new RetryDecision.GiveUp(RefusalReason.TARGET_FAILED, 0);
        }
        if (failure instanceof TargetFailure.Broken) {
            return new RetryDecision.Retry(RetryReason.CONNECTION_BROKEN);
        }
        if (failure instanceof TargetFailure.TimedOut) {
            return new RetryDecision.Retry(RetryReason.TARGET_TIMED_OUT);
        }
        return new RetryDecision.Retry(RetryReason.TARGET_FAILED);
    }

    private static RetryDecision decideRefused(TargetFailure.Refused refused) {
        if (refused.leaving()) {
            return new RetryDecision.Retry(RetryReason.TARGET_LEAVING);
        }
        if (refused.overloaded()) {
            long retryAfterMillis =
                    refused.retryAfterMillis() > 0 ? refused.retryAfterMillis() : OVERLOAD_RETRY_AFTER_MILLIS;
            return new RetryDecision.GiveUp(RefusalReason.TARGETS_OVERLOADED, retryAfterMillis);
        }
        return new RetryDecision.Retry(RetryReason.TARGET_REFUSED);
    }
}
