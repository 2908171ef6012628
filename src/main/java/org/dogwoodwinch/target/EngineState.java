package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * The state that an engine reports.
 *
 * @param configuration the current configuration, not null
 * @param appliedOrderId the last order that the engine accepted; empty if it accepted none since it started
 * @param highestFencingToken the highest fencing token that the engine has seen; -1 if it ignores tokens or has seen
 *     none
 * @param ready whether the engine serves requests; false while a model loads or the role changes
 * @param startedCount how many times the engine has started; an increase means that the engine crashed
 */
public record EngineState(
        EngineConfiguration configuration,
        String appliedOrderId,
        long highestFencingToken,
        boolean ready,
        long startedCount) {

    /** Validates the components. */
    public EngineState {
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(appliedOrderId, "appliedOrderId");
    }
}
