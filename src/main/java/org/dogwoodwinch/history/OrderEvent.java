package org.dogwoodwinch.history;

import java.util.Objects;

/** What happened to authority over engines and to orders. */
public sealed interface OrderEvent extends HistoryEvent {

    /**
     * The fold of the log gave an instance the authority over a group of engines.
     *
     * @param atMillis when it was first seen, in milliseconds
     * @param instance the new holder, not null
     * @param group the group of engines, not null
     * @param leaseToken the log offset of the claim that gave it
     */
    record AuthorityTaken(long atMillis, String instance, String group, long leaseToken) implements OrderEvent {

        /** Checks the parts. */
        public AuthorityTaken {
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(group, "group");
        }
    }

    /**
     * The fold of the log took an order's intent.
     *
     * @param atMillis when it was first seen, in milliseconds
     * @param instance the holder that wrote it, not null
     * @param group the group of engines, not null
     * @param engine the engine, not null
     * @param orderId the order, not null
     * @param leaseToken the claim under which it was written
     * @param fencingToken the log offset of the intent
     * @param configuration the whole wanted state, as one comparable text, not null
     */
    record Intended(
            long atMillis,
            String instance,
            String group,
            String engine,
            String orderId,
            long leaseToken,
            long fencingToken,
            String configuration)
            implements OrderEvent {

        /** Checks the parts. */
        public Intended {
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(engine, "engine");
            Objects.requireNonNull(orderId, "orderId");
            Objects.requireNonNull(configuration, "configuration");
        }
    }

    /**
     * An instance sent an order.
     *
     * @param atMillis when, in milliseconds
     * @param instance the sender, not null
     * @param engine the engine, not null
     * @param orderId the order, not null
     * @param fencingToken the order's fencing token
     */
    record Sent(long atMillis, String instance, String engine, String orderId, long fencingToken)
            implements OrderEvent {

        /** Checks the parts. */
        public Sent {
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(engine, "engine");
            Objects.requireNonNull(orderId, "orderId");
        }
    }

    /**
     * An engine took an order and acts on it; recorded by the engine. An order repeated to no effect is not recorded.
     *
     * @param atMillis when, in milliseconds
     * @param engine the engine, not null
     * @param orderId the order, not null
     * @param fencingToken the order's fencing token
     * @param configuration the whole state that it asks for, as one comparable text, not null
     */
    record Applied(long atMillis, String engine, String orderId, long fencingToken, String configuration)
            implements OrderEvent {

        /** Checks the parts. */
        public Applied {
            Objects.requireNonNull(engine, "engine");
            Objects.requireNonNull(orderId, "orderId");
            Objects.requireNonNull(configuration, "configuration");
        }
    }

    /**
     * An engine refused an order for its old fencing token; recorded by the engine.
     *
     * @param atMillis when, in milliseconds
     * @param engine the engine, not null
     * @param orderId the order, not null
     * @param fencingToken the order's fencing token
     */
    record Fenced(long atMillis, String engine, String orderId, long fencingToken) implements OrderEvent {

        /** Checks the parts. */
        public Fenced {
            Objects.requireNonNull(engine, "engine");
            Objects.requireNonNull(orderId, "orderId");
        }
    }
}
