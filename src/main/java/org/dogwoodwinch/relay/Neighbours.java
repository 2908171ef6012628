package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.forwarding.Neighbour;

/**
 * What a service needs to know of the other instances in order to pass calls on to them.
 *
 * @param connector opens connections for calls to other instances, not null
 * @param ownDataCentre the data centre of this instance, not null
 * @param others supplies the other instances, evaluated for each call that is passed on, not null
 * @param isolatedNames supplies the names of the instances that are cut off from all targets, not null
 * @param onIsolationChange told when this instance is cut off from all targets, and when no longer, not null
 */
public record Neighbours(
        TargetConnector connector,
        String ownDataCentre,
        Supplier<List<Neighbour>> others,
        Supplier<Set<String>> isolatedNames,
        Consumer<Boolean> onIsolationChange) {

    /** Validates the components. */
    public Neighbours {
        Objects.requireNonNull(connector, "connector");
        Objects.requireNonNull(ownDataCentre, "ownDataCentre");
        Objects.requireNonNull(others, "others");
        Objects.requireNonNull(isolatedNames, "isolatedNames");
        Objects.requireNonNull(onIsolationChange, "onIsolationChange");
    }
}
