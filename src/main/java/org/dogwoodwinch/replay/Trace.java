package org.dogwoodwinch.replay;

import java.util.List;
import java.util.Objects;

/**
 * A whole trace.
 *
 * @param header what it is about, not null
 * @param requests the requests in order of arrival, not null
 * @param faults what befalls engines, in order, not null
 */
public record Trace(TraceHeader header, List<TraceRequest> requests, List<TraceFault> faults) {

    /** Checks and copies the parts. */
    public Trace {
        Objects.requireNonNull(header, "header");
        requests = List.copyOf(requests);
        faults = List.copyOf(faults);
    }

    /**
     * Returns this trace with another report lag and number of instances.
     *
     * @param reportLagMillis the lag, in milliseconds
     * @param instances how many entry instances
     * @return the copy
     */
    public Trace with(long reportLagMillis, int instances) {
        TraceHeader changed = new TraceHeader(
                header.deployment(),
                header.seed(),
                header.durationMillis(),
                reportLagMillis,
                instances,
                header.groups());
        return new Trace(changed, requests, faults);
    }

    /**
     * Returns this trace with other faults.
     *
     * @param newFaults the faults, in order, not null
     * @return the copy
     */
    public Trace withFaults(List<TraceFault> newFaults) {
        return new Trace(header, requests, newFaults);
    }
}
