package org.dogwoodwinch.replay;

import java.util.List;
import java.util.Objects;

/**
 * The first line of a trace.
 *
 * @param deployment whose workload it is, not null
 * @param seed the generator's seed
 * @param durationMillis how long requests arrive, in milliseconds
 * @param reportLagMillis how old engines' load reports are, in milliseconds
 * @param instances how many entry instances there are
 * @param groups the engine groups, not null
 */
public record TraceHeader(
        String deployment,
        long seed,
        long durationMillis,
        long reportLagMillis,
        int instances,
        List<TraceGroup> groups) {

    /** Checks and copies the parts. */
    public TraceHeader {
        Objects.requireNonNull(deployment, "deployment");
        groups = List.copyOf(groups);
    }
}
