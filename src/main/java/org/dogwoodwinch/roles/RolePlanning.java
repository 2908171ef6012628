package org.dogwoodwinch.roles;

import java.util.List;

/** Decides now and then whether an engine of a group changes its role. */
@FunctionalInterface
public interface RolePlanning {

    /**
     * Looks at one group and requests at most one change.
     *
     * @param group the group's name, not null
     * @param engines its engines, not null
     */
    void plan(String group, List<EngineView> engines);
}
