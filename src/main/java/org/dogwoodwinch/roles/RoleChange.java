package org.dogwoodwinch.roles;

import java.util.Objects;
import org.dogwoodwinch.target.EngineRole;

/**
 * A proposal to change an engine's role.
 *
 * @param group the engine's group, not null
 * @param engine the engine's name, not null
 * @param role the role wanted, not null
 * @param gain answers in time that the whole plan is predicted to bring over the planning horizon
 */
public record RoleChange(String group, String engine, EngineRole role, double gain) {

    /** Checks the parts. */
    public RoleChange {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(role, "role");
    }
}
