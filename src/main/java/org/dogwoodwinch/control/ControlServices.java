package org.dogwoodwinch.control;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.WeightStore;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.target.TargetClients;

/**
 * What a {@link ControlNode} reaches outside itself.
 *
 * @param log the platform's log, not null
 * @param weights the platform's weight store, not null
 * @param board carries the catalogue to peers that start during an outage, not null
 * @param publishesToPeers whether this instance is one of those that tell the others the catalogue, not null
 * @param clients makes the clients of engines, not null
 * @param fleet the engines and instances, not null
 * @param activity knows what is in flight on targets, not null
 */
public record ControlServices(
        LogService log,
        WeightStore weights,
        PeerBus board,
        BooleanSupplier publishesToPeers,
        TargetClients clients,
        FleetInventory fleet,
        TargetActivity activity) {

    /** Checks the parts. */
    public ControlServices {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(weights, "weights");
        Objects.requireNonNull(board, "board");
        Objects.requireNonNull(publishesToPeers, "publishesToPeers");
        Objects.requireNonNull(clients, "clients");
        Objects.requireNonNull(fleet, "fleet");
        Objects.requireNonNull(activity, "activity");
    }
}
