package org.dogwoodwinch.authority;

import java.util.Objects;
import org.dogwoodwinch.target.EngineConfiguration;

/**
 * The last order of an engine and its status.
 *
 * @param group the engine's group, not null
 * @param intent the offset of the order's intent, from which its fencing token is made
 * @param orderId the order's id, not null
 * @param planId the plan that the order belongs to; empty if the order reasserts an earlier one, not null
 * @param loadSequence the order's sequence number among all weight loads; -1 if it loads no weights
 * @param configuration the ordered configuration, not null
 * @param state the status of the order, not null
 * @param detail why the order failed; else empty, not null
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

    /** The status of an order. */
    public enum State {
        /** The group's holder, or its successor, has yet to complete the order. */
        OPEN,
        /** The state read from the engine showed the ordered configuration. */
        APPLIED,
        /** The order expired, because the engine refused it or did not show the ordered configuration in time. */
        FAILED
    }

    /** Validates the components. */
    public EngineEntry {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(orderId, "orderId");
        Objects.requireNonNull(planId, "planId");
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Returns whether the order loads weights.
     *
     * @return true if the order has a load sequence number
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
