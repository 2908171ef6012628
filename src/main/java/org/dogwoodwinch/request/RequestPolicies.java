package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.function.Function;

/**
 * The decisions of a request's life that a history check replaces one by one with a faulty version, to see that it would
 * notice.
 *
 * @param retry whether a failed attempt may be followed by another, not null
 * @param runState the word of a refusal, not null
 * @param chunkMatcher whether a chunk belongs to an attempt, not null
 * @param awaitsClaim whether a claim is read back before the request is sent
 */
public record RequestPolicies(
        RetryPolicy retry,
        Function<AttemptTracker, RunState> runState,
        ChunkMatcher chunkMatcher,
        boolean awaitsClaim) {

    /** The decisions in use. */
    public static final RequestPolicies STANDARD =
            new RequestPolicies(RetryPolicy.STANDARD, AttemptTracker::runState, ChunkMatcher.BY_ATTEMPT_ID, true);

    /** Checks the parts. */
    public RequestPolicies {
        Objects.requireNonNull(retry, "retry");
        Objects.requireNonNull(runState, "runState");
        Objects.requireNonNull(chunkMatcher, "chunkMatcher");
    }
}
