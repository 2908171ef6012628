package org.dogwoodwinch.status;

import java.util.List;
import java.util.Objects;

/**
 * What one instance sees; the JSON of {@code GET /status} on the operators' listener.
 *
 * @param instance the instance's name, not null
 * @param dataCentre its data centre, not null
 * @param ready whether it takes requests
 * @param stopping whether it is shutting down
 * @param catalogueRevision the revision in force here; -1 without one
 * @param logOffset the next offset of the control stream that it will read
 * @param logReachable whether the last reading of the log succeeded
 * @param inFlightRequests requests taken and not yet answered
 * @param targets the targets as it sees them, not null
 * @param peers the other instances as it sees them, not null
 * @param leases the leases it holds, by engine group, not null
 */
public record InstanceStatus(
        String instance,
        String dataCentre,
        boolean ready,
        boolean stopping,
        long catalogueRevision,
        long logOffset,
        boolean logReachable,
        int inFlightRequests,
        List<TargetStatus> targets,
        List<PeerStatus> peers,
        List<String> leases) {

    /** Checks and copies the parts. */
    public InstanceStatus {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(dataCentre, "dataCentre");
        targets = List.copyOf(targets);
        peers = List.copyOf(peers);
        leases = List.copyOf(leases);
    }
}
