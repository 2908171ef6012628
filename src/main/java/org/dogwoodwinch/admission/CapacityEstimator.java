package org.dogwoodwinch.admission;

import java.util.Optional;

/** Estimates what target groups can do; routing's view of the fleet is the one in use. */
@FunctionalInterface
public interface CapacityEstimator {

    /**
     * Estimates a group's capacity.
     *
     * @param group the group's name, not null
     * @return the estimate, or empty where no target takes new work
     */
    Optional<GroupCapacity> capacityOf(String group);
}
