package org.dogwoodwinch.request;

import org.dogwoodwinch.target.TargetFailure;

/** Decides whether a failed attempt may be followed by another; budget and deadline are looked at afterwards. */
@FunctionalInterface
public interface RetryPolicy {

    /** How long a caller is asked to stay away where an overloaded target did not say. */
    long OVERLOAD_RETRY_AFTER_MILLIS = 1_000;

    /**
     * The policy in use. A call that may not be repeated goes on only after proof that it did not run; nothing goes on
     * where the target refused for load, since the next target is as busy and the retry only adds to it.
     */
    RetryPolicy STANDARD = RetryPolicy::decideStandard;

    /**
     * Decides.
     *
     * @param repeatable whether the request may run more than once
     * @param failure why the attempt failed, not null
     * @return what follows
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
