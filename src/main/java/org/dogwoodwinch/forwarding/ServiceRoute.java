package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * A route: the calls of one host below one path prefix, and how they are served.
 *
 * @param name the route's name, not null
 * @param host the host that callers name, in lower case, without a port, not null
 * @param pathPrefix begins and ends with a slash, not null
 * @param kind what may be repeated, not null
 * @param resumable whether a stream may go on at another target after its last event
 * @param timeoutMillis the longest time that a caller is kept waiting
 * @param targetLatencyMillis the time within which an answer earns its full credit; zero where none is stated
 * @param gapAimMillis the longest pause between events that is still on time; zero where none is stated
 * @param maxAttemptsCount the most targets that one request of a caller may be sent to, at least one
 * @param urgency the rank, where zero is the most urgent
 * @param services where the calls go, with their shares, not empty
 */
public record ServiceRoute(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        boolean resumable,
        long timeoutMillis,
        long targetLatencyMillis,
        long gapAimMillis,
        int maxAttemptsCount,
        int urgency,
        List<WeightedService> services) {

    /**
     * Checks and copies.
     *
     * @throws IllegalArgumentException if the prefix lacks a slash at either end, or there is no service
     */
    public ServiceRoute {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(kind, "kind");
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("a path prefix begins and ends with a slash: " + pathPrefix);
        }
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " names no service");
        }
    }

    /**
     * Says whether a call that may have run may be sent again.
     *
     * @return whether a second run does no harm
     */
    public boolean idempotent() {
        return kind == RouteKind.REPEATABLE || (kind == RouteKind.STREAM && resumable);
    }

    /**
     * Chooses the service of one call by the shares.
     *
     * @param uniform a random number from 0 (inclusive) to 1 (exclusive)
     * @return the service's name
     */
    public String chooseService(double uniform) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remainingWeight = uniform * total;
        for (WeightedService candidate : services) {
            remainingWeight -= candidate.weight();
            if (remainingWeight < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
