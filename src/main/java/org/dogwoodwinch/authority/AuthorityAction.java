package org.dogwoodwinch.authority;

import java.util.Objects;
import org.dogwoodwinch.target.EngineOrder;

/** What the decisions on leases, orders and plans want done. */
public sealed interface AuthorityAction {

    /**
     * Append a record to the control stream, at once.
     *
     * @param record the record, not null
     */
    record Append(AuthorityRecord record) implements AuthorityAction {

        /** Checks the parts. */
        public Append {
            Objects.requireNonNull(record, "record");
        }
    }

    /**
     * Send an order, after {@link AuthorityAgent#maySend} was asked again immediately before the bytes are written.
     *
     * @param engine the engine, not null
     * @param group its group, not null
     * @param order the order, not null
     */
    record SendOrder(String engine, String group, EngineOrder order) implements AuthorityAction {

        /** Checks the parts. */
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
    record ReadState(String engine) implements AuthorityAction {

        /** Checks the parts. */
        public ReadState {
            Objects.requireNonNull(engine, "engine");
        }
    }

    /** Ask the weight store what it allows. */
    record ReadWeightRate() implements AuthorityAction {}
}
