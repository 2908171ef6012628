package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.function.Function;

/**
 * The replaceable decisions of request processing. Tests of the history checks replace one decision at a time with a
 * faulty version, to verify that the checks detect the fault.
 *
 * @param retry decides whether a failed attempt is retried, not null
 * @param runState determines the run state that a refusal reports, not null
 * @param chunkMatcher decides whether a chunk belongs to an attempt, not null
 * @param awaitsClaim whether a claim must be read back before the request is sent
 */
public record RequestPolicies(
        RetryPolicy retry,
        Function<AttemptTracker, RunState> runState,
        ChunkMatcher chunkMatcher,
        boolean awaitsClaim) {

    /** The policies used in production. */
    public static final RequestPolicies STANDARD =
            new RequestPolicies(RetryPolicy.STANDARD, AttemptTracker::runState, ChunkMatcher.BY_ATTEMPT_ID, true);

    /** Checks that no component is null. */
    public RequestPolicies {
        Objects.requireNonNull(retry, "retry");
        Objects.requireNonNull(runState, "runState");
        Objects.requireNonNull(chunkMatcher, "chunkMatcher");
    }
}
