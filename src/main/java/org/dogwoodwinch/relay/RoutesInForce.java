package org.dogwoodwinch.relay;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.scaling.ScalingLimits;

/** The configuration in force, and what it says of services and routes. Confined to one event loop. */
public final class RoutesInForce {

    private Optional<RouteTable> current = Optional.empty();

    /** Creates an object without a configuration. */
    RoutesInForce() {}

    /** Returns the configuration; empty before the first one was applied. */
    Optional<RouteTable> current() {
        return current;
    }

    /** Returns the limits on callers' requests, default ones before the first configuration. */
    CallerLimits limits() {
        return current.map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
    }

    /**
     * Applies a configuration unless its version is older than or equal to that of the current one.
     *
     * @param newTable the configuration to apply, not null
     * @return whether the configuration was applied
     */
    public boolean configure(RouteTable newTable) {
        if (current.isPresent() && current.get().version() >= newTable.version()) {
            return false;
        }
        current = Optional.of(newTable);
        return true;
    }

    /**
     * Returns whether a service's targets are model engines.
     *
     * @param serviceName the service's name, not null
     * @return true for a model service; false for other and unknown services
     */
    public boolean servesModel(String serviceName) {
        return current.flatMap(table -> table.service(serviceName))
                .flatMap(ServiceEntry::engine)
                .isPresent();
    }

    /**
     * Returns the services whose targets are model engines.
     *
     * @return the names in the configuration in force
     */
    public Set<String> modelServices() {
        return current.map(RouteTable::modelServices).orElseGet(Set::of);
    }

    /**
     * Returns the services whose engines are ordered.
     *
     * @return the limits by the name of the service, from the configuration in force; empty before the first one
     */
    public SortedMap<String, ScalingLimits> scaledServices() {
        return current.map(RouteTable::scaledServices).orElseGet(Collections::emptySortedMap);
    }

    /**
     * Returns the longest time for which a caller may take up a stream after its begin.
     *
     * @return milliseconds, the longest time-out of a route whose streams may be resumed; zero without such a route
     */
    public long longestResumableMillis() {
        return current.map(RouteTable::longestResumableMillis).orElse(0L);
    }

    /**
     * Returns the routes whose streams run at a service.
     *
     * @param serviceName the service's name, not null
     * @return the routes in the configuration in force; the same list while that is the same
     */
    public List<ServiceRoute> streamRoutes(String serviceName) {
        return current.map(table -> table.streamRoutes(serviceName)).orElseGet(List::of);
    }

    /**
     * Returns how long an engine is unavailable during a stage change.
     *
     * @param serviceName the service's name, not null
     * @return milliseconds from the configuration in force; zero if it states none
     */
    public long stageChangeMillis(String serviceName) {
        return current.flatMap(table -> table.service(serviceName))
                .flatMap(ServiceEntry::engine)
                .map(EngineTraits::stageChangeMillis)
                .orElse(0L);
    }

    /**
     * Returns whether a configuration is in force.
     *
     * @return false before the first configuration was applied
     */
    public boolean isConfigured() {
        return current.isPresent();
    }
}
