package org.dogwoodwinch.roles;

import java.util.List;

/** Decides whether an engine of a group should change its role. */
@FunctionalInterface
public interface RolePlanningStrategy {

    /**
     * Evaluates one group and requests at most one change.
     *
     * @param group the group's name, not null
     * @param engines the engines of the group, not null
     */
    void plan(String group, List<EngineSnapshot> engines);
}
