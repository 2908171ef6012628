package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.WeightedService;

/**
 * A stream that a caller takes up, and where the configuration in force allows it to go on.
 *
 * @param owner the name of the owner on whose behalf the call runs; empty if it has none, not null
 * @param requestId the request id of the attempt that began the stream, as the caller names it; empty if it names none,
 *     not null
 * @param services the services to which the route of the call leads now, not empty
 * @param serviceWithoutRecord the service at which a stream of this route began, provided that nobody has recorded its
 *     begin and the route has not moved within the lifetime of a stream; empty if chance decided, not null
 */
public record StreamTakeUp(
        String owner, Optional<String> requestId, List<String> services, Optional<String> serviceWithoutRecord) {

    /**
     * Validates the components and copies the list.
     *
     * @throws IllegalArgumentException if there is no service, or the service without a record is none of them
     */
    public StreamTakeUp {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(requestId, "requestId");
        services = List.copyOf(services);
        if (services.isEmpty()) {
            throw new IllegalArgumentException("a stream is taken up at no service");
        }
        if (serviceWithoutRecord.isPresent() && !services.contains(serviceWithoutRecord.get())) {
            throw new IllegalArgumentException("the route does not lead to " + serviceWithoutRecord.get());
        }
    }

    /**
     * Returns the take-up of a stream on a route.
     *
     * @param route the route in force, not null
     * @param owner the name of the owner on whose behalf the call runs; empty if it has none, not null
     * @param requestId the request id of the attempt that began the stream; empty if the caller names none, not null
     * @return the take-up, with the service that follows from the route first
     */
    public static StreamTakeUp on(ServiceRoute route, String owner, Optional<String> requestId) {
        List<String> services =
                route.shares().stream().map(WeightedService::service).distinct().toList();
        Optional<String> presumed = services.size() == 1
                ? Optional.of(services.get(0))
                : requestId.filter(_id -> route.resumable()).map(route::chooseServiceOf);
        List<String> presumedFirst =
                Stream.concat(presumed.stream(), services.stream()).distinct().toList();
        return new StreamTakeUp(owner, requestId, presumedFirst, presumed);
    }
}
