package org.dogwoodwinch.routing;

/**
 * The parameters of {@link LoadAwareRouter}. Values with fewer corrections are kept for comparison in replays.
 *
 * @param sampledCandidates the number of targets of each role that one decision scores, one or more
 * @param jitter the maximum random increase of a score, as a fraction; it keeps instances with equal views from making
 *     equal choices
 * @param countOwnSends whether tokens that this instance sent since a report was made are added to the report
 * @param countPeerSends whether tokens that peers sent according to their messages are added too
 * @param usePrefixes whether prefixes that are probably cached on a target lower its score
 * @param useHealth whether failures and slow first tokens raise the score of a target or exclude it for a time
 * @param prefixBlockChars the characters per prompt block of the prefix index
 * @param minInterTokenMillis the minimum expected time between tokens, in milliseconds
 * @param kvTransferMillisPerToken the time to transfer the KV cache of one prompt token, in milliseconds
 * @param prefillInterferenceWeight the weight in the score of the delay that a prompt causes to other answers in the
 *     batch
 * @param batchContentionWeight the weight in the score of the delay that an answer's tokens cause to other answers in
 *     the batch
 * @param packingStepMillis how much longer a latency-tolerant request waits on one target before the next one is used,
 *     in milliseconds; zero spreads these requests evenly
 */
public record RoutingPolicy(
        int sampledCandidates,
        double jitter,
        boolean countOwnSends,
        boolean countPeerSends,
        boolean usePrefixes,
        boolean useHealth,
        int prefixBlockChars,
        double minInterTokenMillis,
        double kvTransferMillisPerToken,
        double prefillInterferenceWeight,
        double batchContentionWeight,
        double packingStepMillis) {

    /** The policy that daemons use. */
    public static final RoutingPolicy STANDARD =
            new RoutingPolicy(8, 0.05, true, true, true, true, 256, 14, 0.022, 0.2, 1, 1_500);

    /** Lagged reports alone: every target is scored, without randomness. */
    public static final RoutingPolicy REPORTS_ONLY =
            new RoutingPolicy(Integer.MAX_VALUE, 0, false, false, false, false, 256, 14, 0.022, 0, 0, 0);

    /** Reports corrected by the requests that this instance sent. */
    public static final RoutingPolicy REPORTS_AND_OWN_SENDS =
            new RoutingPolicy(4, 0.1, true, false, false, true, 256, 14, 0.022, 0.2, 0, 0);

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if a count is less than one or a fraction is negative
     */
    public RoutingPolicy {
        if (sampledCandidates < 1 || prefixBlockChars < 1) {
            throw new IllegalArgumentException("sampledCandidates and prefixBlockChars must be one or more");
        }
        if (jitter < 0 || minInterTokenMillis < 0 || kvTransferMillisPerToken < 0 || prefillInterferenceWeight < 0) {
            throw new IllegalArgumentException("jitter, times and prefillInterferenceWeight must not be negative");
        }
    }

    /**
     * Returns a copy of this policy with another block length.
     *
     * @param blockChars the characters per prompt block, one or more
     * @return the copy
     */
    public RoutingPolicy withPrefixBlockChars(int blockChars) {
        return new RoutingPolicy(
                sampledCandidates,
                jitter,
                countOwnSends,
                countPeerSends,
                usePrefixes,
                useHealth,
                blockChars,
                minInterTokenMillis,
                kvTransferMillisPerToken,
                prefillInterferenceWeight,
                batchContentionWeight,
                packingStepMillis);
    }
}
