package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.function.Function;

/**
 * The decisions of a request's life that a history check replaces one by one with a faulty version, to see that it would
 * notice.
 *
 * @param retry whether a failed attempt may be followed by another, not null
 * @param runState the word of a refusal, not null
 * @param matcher whether a chunk belongs to an attempt, not null
 * @param awaitsClaim whether a claim is read back before the request is sent
 */
public record RequestPolicies(
        RetryPolicy retry, Function<AttemptLedger, RunState> runState, AnswerMatcher matcher, boolean awaitsClaim) {

    /** The decisions in use. */
    public static final RequestPolicies STANDARD =
            new RequestPolicies(RetryPolicy.STANDARD, AttemptLedger::runState, AnswerMatcher.BY_ATTEMPT_ID, true);

    /** Checks the parts. */
    public RequestPolicies {
        Objects.requireNonNull(retry, "retry");
        Objects.requireNonNull(runState, "runState");
        Objects.requireNonNull(matcher, "matcher");
    }
}
