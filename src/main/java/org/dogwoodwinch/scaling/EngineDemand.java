package org.dogwoodwinch.scaling;

import java.util.List;
import java.util.function.Function;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.QueueLevel;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;

/** The demand of a service at one moment, counted in engines. */
final class EngineDemand {

    /**
     * So many prompts that wait behind another count as the work of one more engine. A prompt of 17,000 tokens takes
     * about 150 ms, so that four of them use up the 500 ms in which urgent calls expect their first event.
     */
    private static final double WAITING_PROMPTS_PER_ENGINE = 4;

    /**
     * Maximum demand at one engine. Callers leave a long queue, so its length does not show how many engines are
     * missing; with twice the engines the demand becomes visible.
     */
    private static final double MAX_DEMAND = 2;

    private EngineDemand() {}

    /**
     * Returns the demand. It exceeds the number of engines if prompts wait, so that an overload is not taken for engines
     * that are all just busy.
     *
     * @param ready the engines that accept calls, not null
     * @param loadOf returns the load of an engine, by its id, not null
     * @return the demand in engines
     */
    static double total(List<Incarnation> ready, Function<String, TargetLoad> loadOf) {
        double sum = 0;
        for (Incarnation engine : ready) {
            sum += at(engine, loadOf.apply(engine.id()));
        }
        return sum;
    }

    private static double at(Incarnation engine, TargetLoad load) {
        int prompts = promptsCount(load.prefillQueue());
        double prefill = prompts > 0 ? 1 + (prompts - 1) / WAITING_PROMPTS_PER_ENGINE : 0;
        double decode = engine.stage() == Stage.PREFILL ? 0 : load.callsCount() / (double) engine.slotsCount();
        return Math.min(MAX_DEMAND, Math.max(prefill, decode));
    }

    private static int promptsCount(PrefillQueue queue) {
        int sum = 0;
        for (int level = 0; level < QueueLevel.COUNT; level++) {
            sum += queue.promptsAt(level);
        }
        return sum;
    }
}
