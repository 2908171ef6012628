package org.dogwoodwinch.admission;

import java.util.Optional;

/** Estimates the capacity of target groups, normally from routing's view of the fleet. */
@FunctionalInterface
public interface CapacityEstimator {

    /**
     * Estimates the capacity of a target group.
     *
     * @param group the group's name, not null
     * @return the estimate, or empty if no target of the group accepts new work
     */
    Optional<GroupCapacity> estimateCapacity(String group);
}
