package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * A route: the calls of one host with one path prefix, and how they are forwarded.
 *
 * @param name the route's name, not null
 * @param host the host named by callers, in lower case, without a port, not null
 * @param pathPrefix the path prefix, which begins and ends with a slash, not null
 * @param kind the kind of its calls, which determines what may be retried, not null
 * @param resumable whether another target may continue a stream after its last event
 * @param timeoutMillis maximum time that a caller waits
 * @param latencyObjectiveMillis the latency objective, within which an answer earns its full credit; zero if there is
 *     none
 * @param maxEventGapMillis maximum gap between two events that still meets the objective; zero if there is none
 * @param maxAttemptsCount maximum number of targets to which one request of a caller may be sent, at least one
 * @param priority the priority, where zero is the most urgent
 * @param isPublic whether calls need no key
 * @param services the services to which the calls are forwarded, with their weights, not empty
 */
public record ServiceRoute(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        long timeoutMillis,
        long latencyObjectiveMillis,
        long maxEventGapMillis,
        int maxAttemptsCount,
        int priority,
        boolean isPublic,
        List<WeightedService> services) {

    /**
     * Validates the components and copies the list.
     *
     * @throws IllegalArgumentException if the prefix does not begin and end with a slash, or there is no service
     */
    public ServiceRoute {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(kind, "kind");
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("path prefix must begin and end with a slash: " + pathPrefix);
        }
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /**
     * Returns whether a call that may have run may be sent again.
     *
     * @return whether running the call twice is harmless
     */
    public boolean isIdempotent() {
        return kind == RouteKind.REPEATABLE || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Returns the services that get calls, with their shares of all calls.
     *
     * @return the services in their order, with shares that add up to one
     */
    public List<WeightedService> shares() {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        if (total == 0) {
            return List.of(new WeightedService(services.get(services.size() - 1).service(), 1));
        }
        return services.stream()
                .filter(each -> each.weight() > 0)
                .map(each -> new WeightedService(each.service(), each.weight() / total))
                .toList();
    }

    /**
     * Returns whether calls of this route may run at a service.
     *
     * @param service the service's name, not null
     * @return whether the service gets a share of the calls
     */
    public boolean leadsTo(String service) {
        return shares().stream().anyMatch(each -> each.service().equals(service));
    }

    /**
     * Chooses the service of a stream from the request id of the attempt that begins it, so that all instances choose
     * alike as long as the route does not change.
     *
     * @param requestId the request id, not null
     * @return the service's name
     */
    public String chooseServiceOf(String requestId) {
        return chooseService(RendezvousHash.score(requestId, name));
    }

    /**
     * Chooses the service for one call in proportion to the weights.
     *
     * @param uniform a random number from 0 (inclusive) to 1 (exclusive)
     * @return the service's name
     */
    public String chooseService(double uniform) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remainingWeight = uniform * total;
        String chosen = services.get(services.size() - 1).service();
        for (WeightedService candidate : services) {
            if (candidate.weight() > 0) {
                chosen = candidate.service();
                remainingWeight -= candidate.weight();
                if (remainingWeight < 0) {
                    return chosen;
                }
            }
        }
        return chosen;
    }
}
