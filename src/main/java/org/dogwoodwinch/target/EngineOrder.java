package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * An order to an engine.
 *
 * @param orderId names the order; an engine that gets one id twice applies it once, not null
 * @param fencingToken the log offset of the order's intent; a checking engine refuses one below the highest it has seen
 * @param configuration the full configuration wanted, not null
 */
public record EngineOrder(String orderId, long fencingToken, EngineConfiguration configuration) {

    /** Checks the parts. */
    public EngineOrder {
        Objects.requireNonNull(orderId, "orderId");
        Objects.requireNonNull(configuration, "configuration");
    }
}
