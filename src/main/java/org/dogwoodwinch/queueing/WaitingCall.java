package org.dogwoodwinch.queueing;

import java.util.Objects;

/**
 * A call that asks to be sent while its service has no capacity. The two times already allow for what the call needs
 * after it is sent.
 *
 * @param id identifies the call among those of its queue and rises in the order of arrival
 * @param owner the name of the call's owner, not null
 * @param priority the priority, where zero is the most urgent
 * @param work the work of the call: tokens at a model service, one at any other
 * @param onTimeReleaseMillis the latest time at which the call may be sent so that it meets its objective, in monotonic
 *     milliseconds; equal to {@code latestReleaseMillis} if it has none
 * @param latestReleaseMillis the latest time at which the call may be sent so that it is answered before its caller
 *     leaves, in monotonic milliseconds
 * @param isReturning whether the caller was refused before and returns at the time that it was told
 */
public record WaitingCall(
        long id,
        String owner,
        int priority,
        long work,
        long onTimeReleaseMillis,
        long latestReleaseMillis,
        boolean isReturning) {

    /** The work of an output token in input tokens: a decode step serves one token of a call, a prefill chunk many. */
    private static final long OUTPUT_TOKEN_WORK = 10;

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the work is not positive
     */
    public WaitingCall {
        Objects.requireNonNull(owner, "owner");
        if (work <= 0) {
            throw new IllegalArgumentException("work is not positive: " + work);
        }
    }

    /**
     * Returns the work of a call to a model.
     *
     * @param inputTokens the length of the prompt
     * @param outputTokens maximum number of tokens to generate
     * @return the work in tokens, at least one
     */
    public static long workOf(int inputTokens, int outputTokens) {
        return Math.max(1, inputTokens + OUTPUT_TOKEN_WORK * outputTokens);
    }
}
