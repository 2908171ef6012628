package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;

/**
 * A call for which one version of the configuration has decided the owner and the route, but not yet the service.
 *
 * @param call the request as received from the caller, without its key, not null
 * @param key the caller's key; empty if there is none, or more than one
 * @param attributes the attributes from its headers, including a request id, not null
 * @param owner the owner of the call; empty if the route or the configuration needs none
 * @param route the route that matches the request, not null
 * @param configVersion the version of the configuration that decided
 * @param takenOver whether another instance passed the call on to this one, so that it is not passed on again
 * @param counted whether the retry budget of another instance has counted it as a request
 */
record IdentifiedCall(
        IncomingCall call,
        Optional<ApiKey> key,
        CallAttributes attributes,
        Optional<CallOwner> owner,
        ServiceRoute route,
        long configVersion,
        boolean takenOver,
        boolean counted) {

    IdentifiedCall {
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attributes, "attributes");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(route, "route");
    }

    String requestId() {
        return attributes.requestId().orElse("");
    }

    /** Returns the id of the stream that the caller takes up, as the caller names it; empty if it names none. */
    String resumes() {
        return attributes.resumes().orElse("");
    }

    /** Returns whether the caller takes up a stream of which it has received an event. */
    boolean takesUpStream() {
        return route.kind() == RouteKind.STREAM && attributes.lastEventId().isPresent();
    }

    /**
     * Chooses the service of a call that takes no stream up. A stream that may be resumed gets the one that follows from
     * its request id, so that an instance without a record of it finds the same one.
     *
     * @param uniform a random number from 0 (inclusive) to 1 (exclusive)
     */
    String chooseService(double uniform) {
        boolean isById = route.resumable() && route.services().size() > 1;
        return isById ? route.chooseServiceOf(requestId()) : route.chooseService(uniform);
    }

    /** Returns which stream the caller takes up, and where it may go on. */
    StreamTakeUp takeUp() {
        return StreamTakeUp.on(route, owner.map(CallOwner::name).orElse(""), attributes.resumes());
    }

    /**
     * Returns the call with its service.
     *
     * @param service the service, not null
     * @param origin the begin of the stream that the call takes up; empty if it takes none up, not null
     */
    RoutedCall at(ServiceEntry service, Optional<StreamOrigin.Known> origin) {
        return new RoutedCall(call, key, attributes, owner, route, service, origin, configVersion, takenOver, counted);
    }
}
