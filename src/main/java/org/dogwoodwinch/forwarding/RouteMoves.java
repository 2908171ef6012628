package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Finds what a new configuration moves from one service to another.
 *
 * <p>Failure: a caller takes its stream up after the route has moved. The service of the route now did not begin the
 * stream, so nobody has a record of it there, and the only version of that service passes for the one that began it.
 */
public final class RouteMoves {

    private RouteMoves() {}

    /**
     * Returns the services at which streams may be taken up that began at another one. A path that leads elsewhere, or
     * whose calls are split otherwise, counts for all services to which it leads now. A path that had no route of streams
     * before counts for none.
     *
     * @param previous the configuration that was in force, not null
     * @param next the configuration that follows it, not null
     * @return the names of the services, in their order
     */
    public static Set<String> servicesOfMovedStreams(RouteTable previous, RouteTable next) {
        Set<String> services = new TreeSet<>();
        // The routes of a path are the same before and now as those of the longer one of their two prefixes, so no path
        // moves without one of the prefixes.
        Stream.concat(previous.streamRoutes().stream(), next.streamRoutes().stream())
                .forEach(route -> services.addAll(servicesOfMovedPath(previous, next, route)));
        return services;
    }

    private static Set<String> servicesOfMovedPath(RouteTable previous, RouteTable next, ServiceRoute path) {
        return previous.findRoute(path.host(), path.pathPrefix())
                .flatMap(before -> next.findRoute(path.host(), path.pathPrefix())
                        .filter(now -> mayTakeUp(before, now) && !choosesAlike(before, now))
                        .map(RouteMoves::servicesOf))
                .orElseGet(Set::of);
    }

    /** Callers may still go by the configuration under which their streams began. */
    private static boolean mayTakeUp(ServiceRoute before, ServiceRoute now) {
        return before.kind() == RouteKind.STREAM
                && now.kind() == RouteKind.STREAM
                && (before.resumable() || now.resumable());
    }

    /** Among several services, the id of a stream and the name of the route decide; without resumption, chance does. */
    private static boolean choosesAlike(ServiceRoute before, ServiceRoute now) {
        List<WeightedService> shares = now.shares();
        return shares.equals(before.shares())
                && (shares.size() == 1
                        || (before.resumable()
                                && now.resumable()
                                && before.name().equals(now.name())));
    }

    private static Set<String> servicesOf(ServiceRoute route) {
        return route.shares().stream().map(WeightedService::service).collect(Collectors.toUnmodifiableSet());
    }
}
