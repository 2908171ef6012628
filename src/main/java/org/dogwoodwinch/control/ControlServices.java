package org.dogwoodwinch.control;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.authority.FleetInventory;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.WeightStore;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.target.TargetClientFactory;

/**
 * The external services that a {@link ControlNode} uses.
 *
 * @param log the platform's log, not null
 * @param weightStore the platform's weight store, not null
 * @param peerBoard distributes the catalogue to peers that start during a log outage, not null
 * @param isCataloguePublisher whether this instance publishes its catalogue to peers, not null
 * @param targetClients creates the clients of engines, not null
 * @param fleet the view of the known engines and instances, not null
 * @param targetActivity provides the number of requests in flight on each target, not null
 */
public record ControlServices(
        LogService log,
        WeightStore weightStore,
        PeerBus peerBoard,
        BooleanSupplier isCataloguePublisher,
        TargetClientFactory targetClients,
        FleetInventory fleet,
        TargetActivity targetActivity) {

    /** Validates the components. */
    public ControlServices {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(weightStore, "weightStore");
        Objects.requireNonNull(peerBoard, "peerBoard");
        Objects.requireNonNull(isCataloguePublisher, "isCataloguePublisher");
        Objects.requireNonNull(targetClients, "targetClients");
        Objects.requireNonNull(fleet, "fleet");
        Objects.requireNonNull(targetActivity, "targetActivity");
    }
}
