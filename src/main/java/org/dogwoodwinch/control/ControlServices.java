package org.dogwoodwinch.control;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.authority.FleetView;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.WeightStore;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.target.TargetClients;

/**
 * What a {@link ControlNode} reaches outside itself.
 *
 * @param log the platform's log, not null
 * @param weightStore the platform's weight store, not null
 * @param peerBoard carries the catalogue to peers that start during an outage, not null
 * @param isCataloguePublisher whether this instance is one of those that tell the others the catalogue, not null
 * @param targetClients makes the clients of engines, not null
 * @param fleet the engines and instances, not null
 * @param targetActivity knows what is in flight on targets, not null
 */
public record ControlServices(
        LogService log,
        WeightStore weightStore,
        PeerBoard peerBoard,
        BooleanSupplier isCataloguePublisher,
        TargetClients targetClients,
        FleetView fleet,
        TargetActivity targetActivity) {

    /** Checks the parts. */
    public ControlServices {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(weightStore, "weights");
        Objects.requireNonNull(peerBoard, "board");
        Objects.requireNonNull(isCataloguePublisher, "publishesToPeers");
        Objects.requireNonNull(targetClients, "clients");
        Objects.requireNonNull(fleet, "fleet");
        Objects.requireNonNull(targetActivity, "activity");
    }
}
