package org.dogwoodwinch.scaling;

import java.util.List;
import java.util.function.Function;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;

/** The demand of a service at one moment, counted in engines. */
final class EngineDemand {

    /**
     * Number of prompts, waiting behind another one, that count as the work of one more engine. A long prompt takes more
     * than a tenth of a second, so that four of them use up the half second in which urgent calls expect a first event.
     */
    private static final double WAITING_PROMPTS_PER_ENGINE = 4;

    /**
     * Maximum demand at one engine, in engines. Callers leave a long queue, so its length does not show how many
     * engines are missing; with twice the engines the demand becomes visible.
     */
    private static final double MAX_DEMAND = 2;

    /**
     * Time for which a prompt counts as waiting in addition to its prefill: the round trip to the engine, the decoding
     * of the first event, and the update of the load. Without it, an engine that occasionally prefills a short prompt
     * would count as constantly busy.
     */
    private static final double OVERHEAD_MILLIS = 60;

    private EngineDemand() {}

    /**
     * Returns the demand. It exceeds the number of engines if prompts wait, so that an overload is not taken for engines
     * that are all just busy.
     *
     * @param ready the engines that accept calls, not null
     * @param loadOf returns the load of an engine, by its id, not null
     * @param prefillRates the prefill rates of the engines, not null
     * @return the demand in engines
     */
    static double total(List<Incarnation> ready, Function<String, TargetLoad> loadOf, PrefillRates prefillRates) {
        double sum = 0;
        for (Incarnation engine : ready) {
            sum += at(engine, loadOf.apply(engine.id()), prefillRates.tokensPerMilli(engine.service(), engine.stage()));
        }
        return sum;
    }

    private static double at(Incarnation engine, TargetLoad load, double tokensPerMilli) {
        int prompts = load.prefillQueue().totalPrompts();
        double prefill =
                prompts > 0 ? prefillDemand(prompts, load.prefillQueue().totalTokens() / tokensPerMilli) : 0;
        double decode = engine.stage() == Stage.PREFILL ? 0 : load.callsCount() / (double) engine.slotsCount();
        return Math.min(MAX_DEMAND, Math.max(prefill, decode));
    }

    /**
     * Returns the share of the time for which the engine prefills, plus the demand of prompts that wait, in engines.
     */
    private static double prefillDemand(int promptsCount, double workMillis) {
        double busyShare = workMillis / (workMillis + promptsCount * OVERHEAD_MILLIS);
        return Math.min(1, promptsCount * busyShare) + (promptsCount - 1) * busyShare / WAITING_PROMPTS_PER_ENGINE;
    }
}
