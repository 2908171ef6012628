package org.dogwoodwinch.roles;

import java.util.List;

/** Provides the demand for a group over a horizon that ends now. */
@FunctionalInterface
public interface DemandSource {

    /**
     * Returns the demand.
     *
     * @param group the group's name, not null
     * @param horizonMillis the horizon, in milliseconds
     * @return the demand by class; empty if there was none
     */
    List<ClassDemand> demand(String group, long horizonMillis);
}
