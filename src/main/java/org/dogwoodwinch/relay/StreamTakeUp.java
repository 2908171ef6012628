package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

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
}
