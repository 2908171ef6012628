package org.dogwoodwinch.roles;

import java.util.Objects;
import org.dogwoodwinch.target.EngineRole;

/**
 * An engine as the planner sees it.
 *
 * @param name its name, not null
 * @param role its role, not null
 * @param steady whether it serves and is neither leaving nor changing
 * @param backlogTokens tokens that wait on it; the emptiest engine is drained soonest
 */
public record EngineView(String name, EngineRole role, boolean steady, long backlogTokens) {

    /** Checks the parts. */
    public EngineView {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(role, "role");
    }
}
