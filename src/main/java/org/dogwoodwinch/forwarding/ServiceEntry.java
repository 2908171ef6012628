package org.dogwoodwinch.forwarding;

import java.util.Objects;
import java.util.Optional;

/**
 * A service that routes name.
 *
 * @param name the service's name, not null
 * @param maxConnectionsCount the connections that one target of it accepts from all callers together
 * @param engine how its targets work where they are model engines, empty for a plain service
 */
public record ServiceEntry(String name, int maxConnectionsCount, Optional<EngineTraits> engine) {

    /** Checks. */
    public ServiceEntry {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
    }
}
