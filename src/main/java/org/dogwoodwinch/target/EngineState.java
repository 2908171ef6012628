package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * What an engine reports of itself.
 *
 * @param configuration what it runs, not null
 * @param appliedOrderId the last order it took; empty where it took none since it started
 * @param highestFencingToken the highest fencing token it has seen; -1 where it ignores tokens or has seen none
 * @param ready whether it serves; false while a model loads or a role changes
 * @param startedCount how many times the engine has started; a change tells of a crash
 */
public record EngineState(
        EngineConfiguration configuration,
        String appliedOrderId,
        long highestFencingToken,
        boolean ready,
        long startedCount) {

    /** Checks the parts. */
    public EngineState {
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(appliedOrderId, "appliedOrderId");
    }
}
