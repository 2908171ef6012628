package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * A service that receives a share of a route's calls.
 *
 * @param service the service's name, not null
 * @param weight its weight relative to the other services of the route, not negative
 */
public record WeightedService(String service, double weight) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if the weight is negative or not a number
     */
    public WeightedService {
        Objects.requireNonNull(service, "service");
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight must not be negative: " + weight);
        }
    }
}
