package org.dogwoodwinch.routing;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.catalogue.WorkClass;

/** Scores the possible routes of an attempt by expected time to first token and time between tokens. */
final class RouteScorer {

    private static final double COST_PER_REQUEST_MILLIS = 1;
    private static final double TOLERANT_DEADLINE_FRACTION = 0.25;
    private static final double CROSS_DATA_CENTRE_MILLIS = 2;
    private static final double CROSS_DATA_CENTRE_KV_FACTOR = 2;

    private final RoutingPolicy policy;
    private final PrefixIndex prefixIndex;
    private final UniformRandomProvider random;
    private final String ownDataCentre;

    RouteScorer(RoutingPolicy policy, PrefixIndex prefixIndex, UniformRandomProvider random, String ownDataCentre) {
        this.policy = policy;
        this.prefixIndex = prefixIndex;
        this.random = random;
        this.ownDataCentre = ownDataCentre;
    }

    /** Returns the cost of serving the whole request on one target. */
    RouteOption scoreSingleTarget(
            TargetState state, RouteQuery query, long[] blockHashes, double outputTokens, DecisionTime now) {
        LoadEstimate load = LoadEstimate.of(state, policy, now.wallMillis());
        double prefillMillis = requestPrefillMillis(state, load, query, blockHashes, now);
        double firstTokenMillis =
                load.batchWaitMillis() + load.prefillWaitMillis() + prefillMillis + crossDataCentreMillis(state);
        double totalMillis = firstTokenMillis
                + outputTokens * load.interTokenMillis(policy.minInterTokenMillis())
                + prefillInterferenceMillis(load, prefillMillis)
                + batchContentionMillis(load, outputTokens);
        if (isLatencyTolerant(query, totalMillis)) {
            double packedMillis = firstTokenMillis + state.packingRank() * policy.packingStepMillis();
            return newOption(state, Optional.empty(), firstTokenMillis, packedMillis, load);
        }
        return newOption(state, Optional.empty(), firstTokenMillis, totalMillis, load);
    }

    /**
     * Returns whether a request has enough time to be packed: latency-tolerant requests fill the targets in the order
     * of their packing rank, so that their long prompts slow down the answers of few targets only. Spread evenly, the
     * prompts would slow down every answer a little, and all answers with a tight deadline would be slightly late.
     * Urgent requests are never packed: instances that share a stale view would all choose the first target.
     */
    private boolean isLatencyTolerant(RouteQuery query, double expectedMillis) {
        if (policy.packingStepMillis() <= 0 || query.workClass() == WorkClass.URGENT) {
            return false;
        }
        return query.workClass() == WorkClass.LONG_READ
                || expectedMillis < TOLERANT_DEADLINE_FRACTION * query.remainingMillis();
    }

    /** Returns the cost of computing the prompt on one target of the prefill role. */
    RouteOption scorePrefill(TargetState state, RouteQuery query, long[] blockHashes, DecisionTime now) {
        LoadEstimate load = LoadEstimate.of(state, policy, now.wallMillis());
        double firstTokenMillis = load.prefillWaitMillis()
                + requestPrefillMillis(state, load, query, blockHashes, now)
                + crossDataCentreMillis(state);
        return newOption(state, Optional.empty(), firstTokenMillis, firstTokenMillis, load);
    }

    /** Returns the cost of generating the answer on one target of the decode role after a prefill on another target. */
    RouteOption scoreDecode(
            TargetState state, RouteOption prefillOption, RouteQuery query, double outputTokens, DecisionTime now) {
        LoadEstimate load = LoadEstimate.of(state, policy, now.wallMillis());
        TargetState source = prefillOption.target();
        double kvTransferMillis = policy.kvTransferMillisPerToken() * query.promptTokens();
        if (!source.target().dataCentre().equals(state.target().dataCentre())) {
            kvTransferMillis *= CROSS_DATA_CENTRE_KV_FACTOR;
        }
        double firstTokenMillis = prefillOption.expectedFirstTokenMillis() + kvTransferMillis + load.batchWaitMillis();
        double totalMillis = firstTokenMillis + outputTokens * load.interTokenMillis(policy.minInterTokenMillis());
        return newOption(state, Optional.of(source), firstTokenMillis, totalMillis, load);
    }

    /**
     * Returns the fraction of the prompt that is probably cached; blocks beyond the hashed ones count as not cached.
     */
    double cachedFraction(TargetState state, RouteQuery query, long[] blockHashes, DecisionTime now) {
        if (!policy.usePrefixes() || blockHashes.length == 0) {
            return 0;
        }
        double hashedFraction = blockHashes.length
                * (double) policy.prefixBlockChars()
                / query.prompt().length();
        return hashedFraction
                * prefixIndex.cachedFraction(blockHashes, state.target().name(), now.monotonicMillis());
    }

    private double requestPrefillMillis(
            TargetState state, LoadEstimate load, RouteQuery query, long[] blockHashes, DecisionTime now) {
        double uncachedFraction = 1 - cachedFraction(state, query, blockHashes, now);
        return query.promptTokens() * uncachedFraction / load.prefillTokensPerMilli();
    }

    /**
     * Returns the delay that the prompt causes to the answers in the same batch. Without this term, long prompts
     * accumulate on busy engines.
     */
    private double prefillInterferenceMillis(LoadEstimate load, double requestPrefillMillis) {
        double batchedRequests = Math.min(load.requests(), load.batchCapacity());
        return policy.prefillInterferenceWeight() * requestPrefillMillis * batchedRequests;
    }

    /**
     * Returns the delay that an additional sequence causes to the steps of all others in the batch. Without this term,
     * request counts diverge between engines while estimates are stale.
     */
    private double batchContentionMillis(LoadEstimate load, double outputTokens) {
        double batchedRequests = Math.min(load.requests(), load.batchCapacity());
        return policy.batchContentionWeight() * outputTokens * batchedRequests / load.decodeTokensPerMilli() / 2;
    }

    private double crossDataCentreMillis(TargetState state) {
        return state.target().dataCentre().equals(ownDataCentre) ? 0 : CROSS_DATA_CENTRE_MILLIS;
    }

    private RouteOption newOption(
            TargetState state,
            Optional<TargetState> prefillTarget,
            double firstTokenMillis,
            double totalMillis,
            LoadEstimate load) {
        double slowdown = policy.useHealth() ? state.health().slowdown() : 1;
        double jitterFactor = 1 + policy.jitter() * random.nextDouble();
        double score = (totalMillis + (load.requests() + 1) * COST_PER_REQUEST_MILLIS) * slowdown * jitterFactor;
        return new RouteOption(state, prefillTarget, firstTokenMillis, score);
    }
}
