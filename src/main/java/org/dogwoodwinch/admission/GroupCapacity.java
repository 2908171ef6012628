package org.dogwoodwinch.admission;

/**
 * What a target group can do for one request more, as this instance estimates it now.
 *
 * @param targets how many targets take new work
 * @param waitMillis how long a prompt would wait on the best of them, in milliseconds
 * @param prefillTokensPerMilli prompt tokens that one target computes a millisecond
 * @param tokenMillis time between tokens of one answer, in milliseconds
 * @param decodeTokensPerMilli tokens that one target generates a millisecond over its batch
 * @param outputShare the part of the allowed output that answers really use, from zero to one
 */
public record GroupCapacity(
        int targets,
        double waitMillis,
        double prefillTokensPerMilli,
        double tokenMillis,
        double decodeTokensPerMilli,
        double outputShare) {

    /**
     * Estimates how long a request takes from its start on a target to its last token.
     *
     * @param promptTokens tokens of the prompt
     * @param maxTokens the most tokens of the answer
     * @return milliseconds
     */
    public double completionMillis(long promptTokens, int maxTokens) {
        return waitMillis + promptTokens / prefillTokensPerMilli + maxTokens * outputShare * tokenMillis;
    }

    /**
     * Estimates how much of one target's time a request takes.
     *
     * @param promptTokens tokens of the prompt
     * @param maxTokens the most tokens of the answer
     * @return milliseconds of one target
     */
    public double workMillis(long promptTokens, int maxTokens) {
        return promptTokens / prefillTokensPerMilli + maxTokens * outputShare / decodeTokensPerMilli;
    }
}
