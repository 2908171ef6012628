package org.dogwoodwinch.scaling;

import java.util.Objects;

/**
 * An order for the number of engines in one pool of a service.
 *
 * @param service the service's name, not null
 * @param pool the pool, not null
 * @param desiredCount the number of engines that the pool should have
 */
public record ScaleOrder(String service, EnginePool pool, int desiredCount) {

    /** Validates the components. */
    public ScaleOrder {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(pool, "pool");
    }
}
