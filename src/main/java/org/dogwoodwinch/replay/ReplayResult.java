package org.dogwoodwinch.replay;

import java.util.List;
import java.util.Objects;

/**
 * What a replay of one trace under one policy came to.
 *
 * @param policy the policy's name, not null
 * @param requests requests in the trace
 * @param good requests answered in time, long reads finished included
 * @param urgentGood urgent ones among them
 * @param longReads long reads among them
 * @param goodputPerSecond good requests a second of the trace
 * @param boundPerSecond the most that hindsight allows, a second of the trace
 * @param refused requests refused
 * @param late requests whose deadline passed
 * @param failed requests that failed
 * @param firstTokenP95Millis time to first token that 95 in 100 stay below, long reads left out, in milliseconds
 * @param betweenTokensP95Millis time between tokens that 95 in 100 answers stay below, in milliseconds
 * @param prefixHitShare the part of prompt tokens that prefix caches held
 * @param roleChangesMillis when roles changed, in milliseconds from the start, not null
 * @param goodByBin good requests in each ten seconds, not null
 */
public record ReplayResult(
        String policy,
        int requests,
        int good,
        int urgentGood,
        int longReads,
        double goodputPerSecond,
        double boundPerSecond,
        int refused,
        int late,
        int failed,
        long firstTokenP95Millis,
        double betweenTokensP95Millis,
        double prefixHitShare,
        List<Long> roleChangesMillis,
        List<Integer> goodByBin) {

    /** Checks and copies the parts. */
    public ReplayResult {
        Objects.requireNonNull(policy, "policy");
        roleChangesMillis = List.copyOf(roleChangesMillis);
        goodByBin = List.copyOf(goodByBin);
    }

    /**
     * Returns how many roles changed.
     *
     * @return the count
     */
    public int roleChanges() {
        return roleChangesMillis.size();
    }
}
