package org.dogwoodwinch.admission;

/**
 * What a target group can do for one request more, as this instance estimates it now.
 *
 * @param availableTargets how many targets take new work
 * @param promptWaitMillis how long a prompt would wait on the best of them, in milliseconds
 * @param prefillTokensPerMillisecond prompt tokens that one target computes a millisecond
 * @param interTokenMillis time between tokens of one answer, in milliseconds
 * @param decodeTokensPerMillisecond tokens that one target generates a millisecond over its batch
 * @param expectedOutputRatio the part of the allowed output that answers really use, from zero to one
 */
public record GroupCapacity(
        int availableTargets,
        double promptWaitMillis,
        double prefillTokensPerMillisecond,
        double interTokenMillis,
        double decodeTokensPerMillisecond,
        double expectedOutputRatio) {

    /**
     * Estimates how long a request takes from its start on a target to its last token.
     *
     * @param promptTokens tokens of the prompt
     * @param maxTokens the most tokens of the answer
     * @return milliseconds
     */
    public double completionMillis(long promptTokens, int maxTokens) {
        return promptWaitMillis
                + promptTokens / prefillTokensPerMillisecond
                + maxTokens * expectedOutputRatio * interTokenMillis;
    }

    /**
     * Estimates how much of one target's time a request takes.
     *
     * @param promptTokens tokens of the prompt
     * @param maxTokens the most tokens of the answer
     * @return milliseconds of one target
     */
    public double workMillis(long promptTokens, int maxTokens) {
        return promptTokens / prefillTokensPerMillisecond
                + maxTokens * expectedOutputRatio / decodeTokensPerMillisecond;
    }
}
