package org.dogwoodwinch.measure.capacity;

import java.util.List;

/** The list of all probes. */
public final class CapacityProbes {

    private CapacityProbes() {}

    /**
     * Returns all probes.
     *
     * @return the probes in the order of the table
     */
    public static List<CapacityProbe> all() {
        return List.of(
                new PeerProbe(),
                new TargetProbe(),
                new InFlightProbe(),
                new CatalogueProbe(),
                new LeaseProbe(),
                new StartProbe(),
                new KvTrafficProbe());
    }
}
