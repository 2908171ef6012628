package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * An order to an engine to apply a configuration.
 *
 * @param orderId identifies the order; an engine that receives an id twice applies the order once, not null
 * @param fencingToken the log offset of the order's intent; an engine that checks tokens refuses an order whose token
 *     is lower than the highest one it has seen
 * @param configuration the full configuration to apply, not null
 */
public record EngineOrder(String orderId, long fencingToken, EngineConfiguration configuration) {

    /** Validates the components. */
    public EngineOrder {
        Objects.requireNonNull(orderId, "orderId");
        Objects.requireNonNull(configuration, "configuration");
    }
}
