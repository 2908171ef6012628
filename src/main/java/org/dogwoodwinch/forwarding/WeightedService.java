package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * A service that gets a share of a route's calls.
 *
 * @param service the service's name, not null
 * @param weight its share against the weights beside it, not negative
 */
public record WeightedService(String service, double weight) {

    /**
     * Checks the weight.
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
