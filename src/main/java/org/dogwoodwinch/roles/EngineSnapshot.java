package org.dogwoodwinch.roles;

import java.util.Objects;
import org.dogwoodwinch.target.EngineRole;

/**
 * An engine's state as input to the planner.
 *
 * @param name the engine's name, not null
 * @param role the engine's role, not null
 * @param stable whether the engine serves requests and is neither draining nor changing its role
 * @param backlogTokens tokens that wait on the engine; the engine with the fewest is drained soonest
 */
public record EngineSnapshot(String name, EngineRole role, boolean stable, long backlogTokens) {

    /** Checks the components. */
    public EngineSnapshot {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(role, "role");
    }
}
