package org.dogwoodwinch.forwarding;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the prefill rates of a service's engines from the observed time to the first event of calls. Not
 * thread-safe.
 *
 * <p>The operator's configuration does not contain these rates, and they fall while an engine also decodes.
 */
public final class PrefillRates {

    /**
     * Weight of a new observation in the exponential moving average: one tenth follows a change within about 20 calls
     * and smooths random variation.
     */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /**
     * Minimum number of tokens of an observation: the time of a short prefill is mostly overhead and does not show
     * the rate.
     */
    private static final long MIN_TOKENS = 1_500;

    private final double initialTokensPerMilli;
    private final Map<String, EnumMap<Stage, Double>> ratesByService = new HashMap<>();

    /**
     * Creates estimates without observations.
     *
     * @param initialTokensPerMilli the rate assumed until a call has been observed, greater than zero
     */
    public PrefillRates(double initialTokensPerMilli) {
        this.initialTokensPerMilli = initialTokensPerMilli;
    }

    /**
     * Records an observation.
     *
     * @param service the service, not null
     * @param stage the stage of the engine that prefilled, not null
     * @param tokens the tokens prefilled before the first event, including those queued ahead of the call
     * @param millis the time until the first event
     */
    public void observe(String service, Stage stage, long tokens, long millis) {
        if (tokens < MIN_TOKENS || millis <= 0) {
            return;
        }
        double observed = tokens / (double) millis;
        EnumMap<Stage, Double> ratesByStage =
                ratesByService.computeIfAbsent(service, _service -> new EnumMap<>(Stage.class));
        ratesByStage.merge(stage, observed, (known, fresh) -> known + SMOOTHING_WEIGHT * (fresh - known));
    }

    /**
     * Returns the estimated rate.
     *
     * @param service the service, not null
     * @param stage the stage, not null
     * @return the rate in tokens per millisecond
     */
    public double tokensPerMilli(String service, Stage stage) {
        EnumMap<Stage, Double> ratesByStage = ratesByService.get(service);
        Double known = ratesByStage == null ? null : ratesByStage.get(stage);
        // An engine that also decodes prefills at about half of its rate.
        double assumed = stage == Stage.PREFILL ? initialTokensPerMilli : initialTokensPerMilli / 2;
        return known == null ? assumed : Math.max(known, assumed / 10);
    }
}
