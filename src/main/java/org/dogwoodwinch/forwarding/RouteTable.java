package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.dogwoodwinch.scaling.ScalingLimits;

/** One version of the operator's configuration. Immutable, so that all decisions for a call use the same version. */
public final class RouteTable {

    private final long version;
    private final Map<String, Map<String, ServiceRoute>> routesByHost;
    private final Map<String, ServiceEntry> services;
    private final Map<String, List<ServiceRoute>> streamRoutes;
    private final CallerLimits limits;
    private final Optional<OwnerKeys> ownerKeys;
    private final SortedMap<String, ScalingLimits> scaledServices;
    private final int routesCount;
    private final long longestResumableMillis;

    /**
     * Creates a table and indexes its routes by host and path prefix.
     *
     * @param version the configuration's version
     * @param routes the routes, not null; of two routes with the same host and prefix, the later one is used
     * @param services the services, not null
     * @param limits the limits on callers' requests, not null
     * @param ownerKeys the keys of callers; empty if the configuration has no owners, so that no call needs a key
     */
    public RouteTable(
            long version,
            Collection<ServiceRoute> routes,
            Collection<ServiceEntry> services,
            CallerLimits limits,
            Optional<OwnerKeys> ownerKeys) {
        this.version = version;
        this.ownerKeys = Objects.requireNonNull(ownerKeys, "ownerKeys");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.routesByHost = new HashMap<>();
        for (ServiceRoute route : routes) {
            routesByHost.computeIfAbsent(route.host(), _host -> new HashMap<>()).put(route.pathPrefix(), route);
        }
        this.services = new HashMap<>();
        services.forEach(service -> this.services.put(service.name(), service));
        this.streamRoutes = new HashMap<>();
        routes.stream().filter(route -> route.kind() == RouteKind.STREAM).forEach(this::indexStreamRoute);
        streamRoutes.replaceAll((_service, indexed) -> List.copyOf(indexed));
        SortedMap<String, ScalingLimits> limitsByService = new TreeMap<>();
        services.forEach(
                service -> service.scaling().ifPresent(scaling -> limitsByService.put(service.name(), scaling)));
        this.scaledServices = Collections.unmodifiableSortedMap(limitsByService);
        this.routesCount = routes.size();
        this.longestResumableMillis = routes.stream()
                .filter(ServiceRoute::resumable)
                .mapToLong(ServiceRoute::timeoutMillis)
                .max()
                .orElse(0);
    }

    /**
     * Returns the version.
     *
     * @return the configuration's version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns the number of routes in the configuration.
     *
     * @return the number of routes
     */
    public int routesCount() {
        return routesCount;
    }

    /**
     * Returns a service.
     *
     * @param name the service's name, not null
     * @return the service, or empty if the configuration does not contain it
     */
    public Optional<ServiceEntry> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the services whose targets are model engines.
     *
     * @return the names of the services
     */
    public Set<String> modelServices() {
        return services.values().stream()
                .filter(service -> service.engine().isPresent())
                .map(ServiceEntry::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the routes whose streams run at a service.
     *
     * @param serviceName the service's name, not null
     * @return the routes, unmodifiable
     */
    public List<ServiceRoute> streamRoutes(String serviceName) {
        return streamRoutes.getOrDefault(serviceName, List.of());
    }

    /**
     * Returns all routes of streams.
     *
     * @return the routes, unmodifiable, in no order
     */
    public List<ServiceRoute> streamRoutes() {
        return routesByHost.values().stream()
                .flatMap(routes -> routes.values().stream())
                .filter(route -> route.kind() == RouteKind.STREAM)
                .toList();
    }

    /**
     * Returns the services whose engines are ordered.
     *
     * @return the limits by the name of the service, in the order of the names
     */
    public SortedMap<String, ScalingLimits> scaledServices() {
        return scaledServices;
    }

    /**
     * Returns the longest time-out of a route whose streams may be resumed.
     *
     * @return milliseconds; zero if there is no such route
     */
    public long longestResumableMillis() {
        return longestResumableMillis;
    }

    /**
     * Returns the number of keys in the configuration.
     *
     * @return the number of valid keys
     */
    public int keysCount() {
        return ownerKeys.map(OwnerKeys::count).orElse(0);
    }

    /**
     * Decides for whom a call may be forwarded.
     *
     * @param route the route of the call, from this table, not null
     * @param key the key of the call; empty if it has none or more than one
     * @return the owner, or the reason for which the call is rejected
     */
    public CallerIdentity identify(ServiceRoute route, Optional<ApiKey> key) {
        return ownerKeys
                .map(keys -> keys.identify(route, key))
                .orElseGet(() -> new CallerIdentity.Accepted(Optional.empty()));
    }

    /**
     * Finds the route with the longest matching path prefix.
     *
     * @param host the host named by the caller, with or without a port, in any case, not null
     * @param requestTarget the request's path, with or without a query, not null
     * @return the route, or empty if none matches
     */
    public Optional<ServiceRoute> findRoute(String host, String requestTarget) {
        Map<String, ServiceRoute> routes = routesByHost.get(stripPort(host).toLowerCase(Locale.ROOT));
        if (routes == null) {
            return Optional.empty();
        }
        int queryStart = requestTarget.indexOf('?');
        String path = queryStart < 0 ? requestTarget : requestTarget.substring(0, queryStart);
        // All prefixes end with a slash, so only substrings of the path that end with a slash can match.
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            ServiceRoute route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private void indexStreamRoute(ServiceRoute route) {
        route.services().stream()
                .filter(each -> each.weight() > 0)
                .map(WeightedService::service)
                .distinct()
                .forEach(service -> streamRoutes
                        .computeIfAbsent(service, _service -> new ArrayList<>())
                        .add(route));
    }

    private static String stripPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
    }
}
