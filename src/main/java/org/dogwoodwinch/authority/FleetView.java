package org.dogwoodwinch.authority;

import java.util.List;
import org.dogwoodwinch.target.Target;

/** The engines and instances that there are, as the platform's instance list says; it lags. */
public interface FleetView {

    /**
     * Returns all engines.
     *
     * @return the engines, those of plain services left out
     */
    List<Target> engines();

    /**
     * Returns this instance's place in the order in which instances claim a group; a hint that keeps claims from
     * colliding, and nothing depends on two instances agreeing on it.
     *
     * @param group the group, not null
     * @return the place, from zero
     */
    int claimRank(String group);
}
