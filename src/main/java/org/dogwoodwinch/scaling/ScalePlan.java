package org.dogwoodwinch.scaling;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The number of engines that a service should have in each pool. Immutable.
 *
 * @param desiredCounts the desired number of each pool that is ordered at all, not null; other pools are left alone
 */
public record ScalePlan(Map<EnginePool, Integer> desiredCounts) {

    /** A plan that orders nothing. */
    public static final ScalePlan NONE = new ScalePlan(Map.of());

    /**
     * Validates the counts and copies the map.
     *
     * @throws IllegalArgumentException if a count is negative
     */
    public ScalePlan {
        desiredCounts = Map.copyOf(desiredCounts);
        desiredCounts.forEach((pool, count) -> {
            if (count < 0) {
                throw new IllegalArgumentException("desired count of " + pool + " is negative: " + count);
            }
        });
    }

    /**
     * Returns the desired counts in the order of the pools.
     *
     * @return a new map
     */
    public SortedMap<EnginePool, Integer> inOrder() {
        return new TreeMap<>(desiredCounts);
    }
}
