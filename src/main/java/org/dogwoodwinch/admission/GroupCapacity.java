package org.dogwoodwinch.admission;

/**
 * Estimated capacity of a target group for one more request, as this instance currently sees it.
 *
 * @param availableTargets number of targets that accept new work
 * @param promptWaitMillis estimated wait of a prompt on the best of these targets, in milliseconds
 * @param prefillTokensPerMillisecond prompt tokens that one target processes per millisecond
 * @param interTokenMillis time between two output tokens of one response, in milliseconds
 * @param decodeTokensPerMillisecond output tokens that one target generates per millisecond over its whole batch
 * @param expectedOutputRatio fraction of the permitted output tokens that responses use on average, from zero to one
 */
public record GroupCapacity(
        int availableTargets,
        double promptWaitMillis,
        double prefillTokensPerMillisecond,
        double interTokenMillis,
        double decodeTokensPerMillisecond,
        double expectedOutputRatio) {

    /**
     * Estimates the time from the start of a request on a target to its last token.
     *
     * @param promptTokens number of tokens of the prompt
     * @param maxTokens maximum number of output tokens
     * @return the time, in milliseconds
     */
    public double completionMillis(long promptTokens, int maxTokens) {
        return promptWaitMillis
                + promptTokens / prefillTokensPerMillisecond
                + maxTokens * expectedOutputRatio * interTokenMillis;
    }

    /**
     * Estimates the time for which a request occupies one target.
     *
     * @param promptTokens number of tokens of the prompt
     * @param maxTokens maximum number of output tokens
     * @return the time on one target, in milliseconds
     */
    public double workMillis(long promptTokens, int maxTokens) {
        return promptTokens / prefillTokensPerMillisecond
                + maxTokens * expectedOutputRatio / decodeTokensPerMillisecond;
    }
}
