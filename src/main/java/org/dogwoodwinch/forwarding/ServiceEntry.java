package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.scaling.ScalingLimits;

/**
 * A service to which routes refer.
 *
 * @param name the service's name, not null
 * @param maxConnectionsCount maximum number of connections that one target of the service accepts from all instances
 *     together
 * @param engine the properties of its targets if they are model engines, empty otherwise
 * @param scaling the limits within which engines of the service are ordered; empty if their number is fixed
 */
public record ServiceEntry(
        String name, int maxConnectionsCount, Optional<EngineTraits> engine, Optional<ScalingLimits> scaling) {

    /** Validates the components. */
    public ServiceEntry {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(scaling, "scaling");
    }

    /**
     * Creates a service whose number of targets is fixed.
     *
     * @param name the service's name, not null
     * @param maxConnectionsCount maximum number of connections that one target of the service accepts from all
     *     instances together
     * @param engine the properties of its targets if they are model engines, empty otherwise
     */
    public ServiceEntry(String name, int maxConnectionsCount, Optional<EngineTraits> engine) {
        this(name, maxConnectionsCount, engine, Optional.empty());
    }
}
