package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * A service to which routes refer.
 *
 * @param name the service's name, not null
 * @param maxConnectionsCount maximum number of connections that one target of the service accepts from all instances
 *     together
 * @param engine the properties of its targets if they are model engines, empty otherwise
 */
public record ServiceEntry(String name, int maxConnectionsCount, Optional<EngineTraits> engine) {

    /** Validates the components. */
    public ServiceEntry {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
    }
}
