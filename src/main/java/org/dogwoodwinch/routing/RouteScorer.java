package org.dogwoodwinch.routing;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.catalogue.WorkClass;

/** Scores the ways to serve one attempt by expected time to first token and between tokens. */
final class RouteScorer {

    private static final double REQUEST_MILLIS = 1;
    private static final double PATIENT_PART = 0.25;
    private static final double OTHER_DATA_CENTRE_MILLIS = 2;
    private static final double OTHER_DATA_CENTRE_KV_FACTOR = 2;

    private final RoutingPolicy policy;
    private final PrefixIndex prefixes;
    private final UniformRandomProvider random;
    private final String ownDataCentre;

    RouteScorer(RoutingPolicy policy, PrefixIndex prefixes, UniformRandomProvider random, String ownDataCentre) {
        this.policy = policy;
        this.prefixes = prefixes;
        this.random = random;
        this.ownDataCentre = ownDataCentre;
    }

    /** The cost of the whole request on one target. */
    RouteOption whole(TargetState state, RouteQuery query, long[] chain, double outputTokens, RouteClock clock) {
        LoadEstimate load = LoadEstimate.of(state, policy, clock.wallMillis());
        double own = ownPrefillMillis(state, load, query, chain, clock);
        double first = load.slotWaitMillis() + load.prefillWaitMillis() + own + farMillis(state);
        double total = first
                + outputTokens * load.tokenMillis(policy.firstStepMillis())
                + disturbance(load, own)
                + crowding(load, outputTokens);
        if (isPatient(query, total)) {
            double inLane = first + state.place() * policy.laneStepMillis();
            return option(state, Optional.empty(), first, inLane, load);
        }
        return option(state, Optional.empty(), first, total, load);
    }

    /**
     * Whether a request has time enough to stand in a lane: patient requests fill the first targets before the next
     * ones, so that their long prompts slow the answers of few targets down. Spread evenly, a little of every prompt
     * would stretch every answer, and answers with a tight deadline would all be a little late. Urgent requests never
     * stand in lanes: instances with one stale view would herd on the first target.
     */
    private boolean isPatient(RouteQuery query, double expectedMillis) {
        if (policy.laneStepMillis() <= 0 || query.workClass() == WorkClass.URGENT) {
            return false;
        }
        return query.workClass() == WorkClass.LONG_READ || expectedMillis < PATIENT_PART * query.remainingMillis();
    }

    /** The cost of computing the prompt on one target of the prefill role. */
    RouteOption prefillLeg(TargetState state, RouteQuery query, long[] chain, RouteClock clock) {
        LoadEstimate load = LoadEstimate.of(state, policy, clock.wallMillis());
        double first = load.prefillWaitMillis() + ownPrefillMillis(state, load, query, chain, clock) + farMillis(state);
        return option(state, Optional.empty(), first, first, load);
    }

    /** The cost of generating on one target of the decode role after a prefill leg. */
    RouteOption decodeLeg(
            TargetState state, RouteOption prefillLeg, RouteQuery query, double outputTokens, RouteClock clock) {
        LoadEstimate load = LoadEstimate.of(state, policy, clock.wallMillis());
        TargetState source = prefillLeg.target();
        double kvMillis = policy.kvMillisPerToken() * query.promptTokens();
        if (!source.target().dataCentre().equals(state.target().dataCentre())) {
            kvMillis *= OTHER_DATA_CENTRE_KV_FACTOR;
        }
        double first = prefillLeg.firstTokenMillis() + kvMillis + load.slotWaitMillis();
        double total = first + outputTokens * load.tokenMillis(policy.firstStepMillis());
        return option(state, Optional.of(source), first, total, load);
    }

    /** The part of the prompt believed cached; blocks beyond the hashed ones count as not cached. */
    double cachedPart(TargetState state, RouteQuery query, long[] chain, RouteClock clock) {
        if (!policy.usePrefixes() || chain.length == 0) {
            return 0;
        }
        double hashed = chain.length
                * (double) policy.prefixBlockChars()
                / query.prompt().length();
        return hashed * prefixes.cachedPart(chain, state.target().name(), clock.monotonicMillis());
    }

    private double ownPrefillMillis(
            TargetState state, LoadEstimate load, RouteQuery query, long[] chain, RouteClock clock) {
        double uncached = 1 - cachedPart(state, query, chain, clock);
        return query.promptTokens() * uncached / load.prefillTokensPerMilli();
    }

    /** A prompt computed beside answers delays every one of them; without this, long prompts pile onto busy engines. */
    private double disturbance(LoadEstimate load, double ownPrefillMillis) {
        double beside = Math.min(load.requests(), load.batchRequests());
        return policy.disturbance() * ownPrefillMillis * beside;
    }

    /** Each sequence more stretches the steps of all beside it; without this, counts drift apart on stale estimates. */
    private double crowding(LoadEstimate load, double outputTokens) {
        double beside = Math.min(load.requests(), load.batchRequests());
        return policy.crowding() * outputTokens * beside / load.decodeTokensPerMilli() / 2;
    }

    private double farMillis(TargetState state) {
        return state.target().dataCentre().equals(ownDataCentre) ? 0 : OTHER_DATA_CENTRE_MILLIS;
    }

    private RouteOption option(
            TargetState state, Optional<TargetState> prefill, double first, double total, LoadEstimate load) {
        double slowness = policy.useHealth() ? state.health().slowness() : 1;
        double chance = 1 + policy.jitter() * random.nextDouble();
        double score = (total + (load.requests() + 1) * REQUEST_MILLIS) * slowness * chance;
        return new RouteOption(state, prefill, first, score);
    }
}
