package org.dogwoodwinch.authority;

import java.util.Objects;
import org.dogwoodwinch.target.EngineConfiguration;

/**
 * The last order of an engine.
 *
 * @param group the engine's group, not null
 * @param intent the offset of the intent: the order's fencing token
 * @param orderId the order's id, not null
 * @param planId the planned change that it is part of; empty where it re-asserts, not null
 * @param loadSequence its number among all weight loads; -1 where it loads none
 * @param configuration what was ordered, not null
 * @param state how far it is, not null
 * @param detail what went wrong where it failed, not null
 */
public record EngineEntry(
        String group,
        long intent,
        String orderId,
        String planId,
        long loadSequence,
        EngineConfiguration configuration,
        State state,
        String detail) {

    /** How far an order is. */
    public enum State {
        /** Its holder, or a successor, has yet to see it through. */
        OPEN,
        /** The engine was read to run it. */
        APPLIED,
        /** The engine refused it, or did not answer for too long. */
        FAILED
    }

    /** Checks the parts. */
    public EngineEntry {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(orderId, "orderId");
        Objects.requireNonNull(planId, "planId");
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Says whether the order loads weights.
     *
     * @return true where it has a number among the loads
     */
    public boolean loadsWeights() {
        return loadSequence >= 0;
    }

    EngineEntry withOutcome(boolean applied, String newDetail) {
        return new EngineEntry(
                group,
                intent,
                orderId,
                planId,
                loadSequence,
                configuration,
                applied ? State.APPLIED : State.FAILED,
                newDetail);
    }
}
