package org.dogwoodwinch.authority;

import java.util.List;
import org.dogwoodwinch.target.Target;

/** The engines and instances of the fleet according to the platform's instance list, which may be out of date. */
public interface FleetInventory {

    /**
     * Returns all listed engines.
     *
     * @return the engines, without the targets of plain services
     */
    List<Target> engines();

    /**
     * Returns this instance's rank in the order in which instances claim a group. The rank reduces concurrent claims;
     * correctness does not depend on the instances agreeing on it.
     *
     * @param group the group, not null
     * @return the rank, from zero
     */
    int claimRank(String group);
}
