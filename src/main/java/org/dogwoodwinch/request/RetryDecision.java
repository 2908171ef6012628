package org.dogwoodwinch.request;

import java.util.function.Function;

/** What follows a failed attempt. */
public sealed interface RetryDecision {

    /**
     * Try another target.
     *
     * @param reason why
     */
    record Retry(RetryReason reason) implements RetryDecision {}

    /**
     * Give the request up.
     *
     * @param reason the reason that its caller gets
     * @param retryAfterMillis when to come back, in milliseconds; zero where it does not help
     */
    record GiveUp(RefusalReason reason, long retryAfterMillis) implements RetryDecision {}

    /**
     * Calls the function of this decision's kind.
     *
     * @param retry for {@link Retry}
     * @param giveUp for {@link GiveUp}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<Retry, T> retry, Function<GiveUp, T> giveUp) {
        if (this instanceof Retry value) {
            return retry.apply(value);
        }
        return giveUp.apply((GiveUp) this);
    }
}
