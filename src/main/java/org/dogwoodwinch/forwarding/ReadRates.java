package org.dogwoodwinch.forwarding;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * How fast engines of a service read prompts, learnt from the time that calls took. Not thread-safe.
 *
 * <p>The operator's configuration does not state it, and it falls where an engine generates beside reading.
 */
public final class ReadRates {

    /** Smoothing of a new observation: one in ten follows a change within some twenty calls and evens out chance. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /** A short prompt's time is mostly overhead and tells nothing of the rate. */
    private static final long MIN_TOKENS = 1_500;

    private final double initialTokensPerMilli;
    private final Map<String, EnumMap<Stage, Double>> ratesByService = new HashMap<>();

    /**
     * Creates rates that know nothing.
     *
     * @param initialTokensPerMilli the rate that is assumed until a call was observed, more than zero
     */
    public ReadRates(double initialTokensPerMilli) {
        this.initialTokensPerMilli = initialTokensPerMilli;
    }

    /**
     * Learns from a call.
     *
     * @param service the service, not null
     * @param stage the stage of the engine that read, not null
     * @param tokens the tokens that were to be read before the first event, those ahead of the call included
     * @param millis the time that it took
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
     * Returns the rate.
     *
     * @param service the service, not null
     * @param stage the stage, not null
     * @return tokens in a millisecond
     */
    public double tokensPerMilli(String service, Stage stage) {
        EnumMap<Stage, Double> ratesByStage = ratesByService.get(service);
        Double known = ratesByStage == null ? null : ratesByStage.get(stage);
        // In the midst of generating, an engine reads at about half its speed.
        double assumed = stage == Stage.PREFILL ? initialTokensPerMilli : initialTokensPerMilli / 2;
        return known == null ? assumed : Math.max(known, assumed / 10);
    }
}
