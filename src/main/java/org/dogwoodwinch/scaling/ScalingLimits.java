package org.dogwoodwinch.scaling;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * The operator's limits and prices for the engines of a service.
 *
 * @param minCount minimum number of engines in a data centre, of both kinds together
 * @param maxCount maximum number of engines in a data centre, of both kinds together
 * @param bootMillis time from an order until a new engine serves
 * @param spotPriceRatio price of a spot engine as a part of that of an on-demand engine; empty if there are no spot
 *     engines
 * @param priceByDataCentre price of one second of an on-demand engine in each data centre, not null
 */
public record ScalingLimits(
        int minCount,
        int maxCount,
        long bootMillis,
        OptionalDouble spotPriceRatio,
        Map<String, Double> priceByDataCentre) {

    /**
     * Validates the components and copies the map.
     *
     * @throws IllegalArgumentException if the limits are negative or the minimum exceeds the maximum
     */
    public ScalingLimits {
        Objects.requireNonNull(spotPriceRatio, "spotPriceRatio");
        if (minCount < 0 || maxCount < minCount) {
            throw new IllegalArgumentException("invalid limits of scaling: min " + minCount + ", max " + maxCount);
        }
        priceByDataCentre = Map.copyOf(priceByDataCentre);
    }
}
