package org.dogwoodwinch.scaling;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.TargetLoad;

/**
 * What is known of a service's engines at one moment.
 *
 * @param ready the engines that accept calls, not null
 * @param loadOf returns the load of all instances at an engine, by its id, not null
 * @param lastPlan the last recorded plan, {@link ScalePlan#NONE} if there is none, not null
 * @param readyCounts the number of engines of each pool that accept calls, not null
 * @param unavailableUntilMillis for pools of which the platform had no more engines: until when none is ordered again,
 *     in monotonic milliseconds, not null
 */
public record ScaleObservation(
        List<Incarnation> ready,
        Function<String, TargetLoad> loadOf,
        ScalePlan lastPlan,
        Map<EnginePool, Integer> readyCounts,
        Map<EnginePool, Long> unavailableUntilMillis) {

    /** Validates the components and copies the collections. */
    public ScaleObservation {
        Objects.requireNonNull(loadOf, "loadOf");
        Objects.requireNonNull(lastPlan, "lastPlan");
        ready = List.copyOf(ready);
        readyCounts = Map.copyOf(readyCounts);
        unavailableUntilMillis = Map.copyOf(unavailableUntilMillis);
    }
}
