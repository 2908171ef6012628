package org.dogwoodwinch.request;

import java.util.function.Function;

/** The decision whether a failed attempt is retried. */
public sealed interface RetryDecision {

    /**
     * The request is retried on another target.
     *
     * @param reason the reason for the retry
     */
    record Retry(RetryReason reason) implements RetryDecision {}

    /**
     * The request is refused without a further attempt.
     *
     * @param reason the reason that the caller receives
     * @param retryAfterMillis the delay after which a retry by the caller is useful, in milliseconds; zero if it does
     *     not help
     */
    record GiveUp(RefusalReason reason, long retryAfterMillis) implements RetryDecision {}

    /**
     * Applies the function that corresponds to the type of this decision.
     *
     * @param retry for {@link Retry}
     * @param giveUp for {@link GiveUp}
     * @param <T> the result type of the functions
     * @return the result of the function applied
     */
    default <T> T match(Function<Retry, T> retry, Function<GiveUp, T> giveUp) {
        if (this instanceof Retry value) {
            return retry.apply(value);
        }
        return giveUp.apply((GiveUp) this);
    }
}
