package org.dogwoodwinch.roles;

import java.util.Objects;
import org.dogwoodwinch.target.EngineRole;

/**
 * A proposal to change an engine's role.
 *
 * @param group the engine's group, not null
 * @param engine the engine's name, not null
 * @param role the new role, not null
 * @param gain the predicted number of additional answers within their deadlines, for the whole plan over the planning
 *     horizon
 */
public record RoleChange(String group, String engine, EngineRole role, double gain) {

    /** Checks the components. */
    public RoleChange {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(role, "role");
    }
}
