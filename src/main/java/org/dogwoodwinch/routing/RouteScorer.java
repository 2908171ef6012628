package org.dogwoodwinch.routing;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.catalogue.WorkClass;

/** Scores the ways to serve one attempt by expected time to first token and between tokens. */
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

    /** The cost of the whole request on one target. */
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
     * Whether a request has time enough to stand in a lane: patient requests fill the first targets before the next
     * ones, so that their long prompts slow the answers of few targets down. Spread evenly, a little of every prompt
     * would stretch every answer, and answers with a tight deadline would all be a little late. Urgent requests never
     * stand in lanes: instances with one stale view would herd on the first target.
     */
    private boolean isLatencyTolerant(RouteQuery query, double expectedMillis) {
        if (policy.packingStepMillis() <= 0 || query.workClass() == WorkClass.URGENT) {
            return false;
        }
        return query.workClass() == WorkClass.LONG_READ
                || expectedMillis < TOLERANT_DEADLINE_FRACTION * query.remainingMillis();
    }

    /** The cost of computing the prompt on one target of the prefill role. */
    RouteOption scorePrefill(TargetState state, RouteQuery query, long[] blockHashes, DecisionTime now) {
        LoadEstimate load = LoadEstimate.of(state, policy, now.wallMillis());
        double firstTokenMillis = load.prefillWaitMillis()
                + requestPrefillMillis(state, load, query, blockHashes, now)
                + crossDataCentreMillis(state);
        return newOption(state, Optional.empty(), firstTokenMillis, firstTokenMillis, load);
    }

    /** The cost of generating on one target of the decode role after a prefill leg. */
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

    /** The part of the prompt believed cached; blocks beyond the hashed ones count as not cached. */
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

    /** A prompt computed beside answers delays every one of them; without this, long prompts pile onto busy engines. */
    private double prefillInterferenceMillis(LoadEstimate load, double requestPrefillMillis) {
        double batchedRequests = Math.min(load.requests(), load.batchCapacity());
        return policy.prefillInterferenceWeight() * requestPrefillMillis * batchedRequests;
    }

    /** Each sequence more stretches the steps of all beside it; without this, counts drift apart on stale estimates. */
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
