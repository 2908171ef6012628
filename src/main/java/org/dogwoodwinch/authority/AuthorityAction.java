package org.dogwoodwinch.authority;

import java.util.Objects;
import org.dogwoodwinch.target.EngineOrder;

/** An action that a decision on leases, orders or planned changes requires. */
public sealed interface AuthorityAction {

    /**
     * Append a record to the control stream without delay.
     *
     * @param record the record, not null
     */
    record AppendRecord(AuthorityRecord record) implements AuthorityAction {

        /** Validates the components. */
        public AppendRecord {
            Objects.requireNonNull(record, "record");
        }
    }

    /**
     * Send an order. {@link AuthorityAgent#isSendAllowed} must be called again immediately before the bytes are written.
     *
     * @param engine the engine, not null
     * @param group the engine's group, not null
     * @param order the order, not null
     */
    record SendOrder(String engine, String group, EngineOrder order) implements AuthorityAction {

        /** Validates the components. */
        public SendOrder {
            Objects.requireNonNull(engine, "engine");
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(order, "order");
        }
    }

    /**
     * Read the state of an engine.
     *
     * @param engine the engine, not null
     */
    record ReadEngineState(String engine) implements AuthorityAction {

        /** Validates the components. */
        public ReadEngineState {
            Objects.requireNonNull(engine, "engine");
        }
    }

    /** Read from the weight store how many weight loads a minute it allows. */
    record ReadWeightLoadRate() implements AuthorityAction {}
}
