package org.dogwoodwinch.scaling;

import java.util.Optional;

/** Decides how many engines of each pool a service should have. */
@FunctionalInterface
public interface ScaleStrategy {

    /**
     * Records an observation and returns a plan if the engines should change. Must be called regularly, even if no change
     * is wanted.
     *
     * @param observed what is known of the service's engines, not null
     * @param limits the operator's limits and prices, not null
     * @param nowMillis monotonic milliseconds
     * @return the plan to record and to order, or empty if the last one stands
     */
    Optional<ScalePlan> plan(ScaleObservation observed, ScalingLimits limits, long nowMillis);
}
