package org.dogwoodwinch.routing;

/**
 * The constants of {@link EstimatingRouter}; earlier versions of the policy are kept as values of this record.
 *
 * @param sampledCandidates how many targets of each role are looked at in one decision, one or more
 * @param jitter the random part of a score, as a fraction; it keeps instances with equal views from choosing alike
 * @param countOwnSends whether the tokens this instance sent since a report's own time are added to the report
 * @param countPeerSends whether the tokens that peers say they sent are added too
 * @param usePrefixes whether believed prefix-cache content lowers the score
 * @param useHealth whether failures and slow first tokens raise the score or hold a target back
 * @param prefixBlockChars characters of one prompt block of the prefix index
 * @param minInterTokenMillis the shortest expected time between tokens, in milliseconds
 * @param kvTransferMillisPerToken how long moving the KV cache of one prompt token takes, in milliseconds
 * @param prefillInterferenceWeight how much of the delay that a prompt causes to the answers beside it counts in the score
 * @param batchContentionWeight how much of the delay that an answer's tokens cause to the answers beside it counts in the score
 * @param packingStepMillis how much longer a patient request waits on one target before it takes the next, in
 *     milliseconds; zero spreads patient requests evenly
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

    /** The first version: lagged reports alone, every target looked at, no chance. */
    public static final RoutingPolicy REPORTS_ONLY =
            new RoutingPolicy(Integer.MAX_VALUE, 0, false, false, false, false, 256, 14, 0.022, 0, 0, 0);

    /** The second version: reports corrected by this instance's own sends. */
    public static final RoutingPolicy OWN_SENDS =
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
            throw new IllegalArgumentException("jitter, times and disturbance must not be negative");
        }
    }

    /**
     * Returns this policy with another block length.
     *
     * @param blockChars characters of one prompt block, one or more
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
