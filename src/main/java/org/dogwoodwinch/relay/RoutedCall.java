package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;

/**
 * A call for which one version of the configuration has decided the owner, the route and the service.
 *
 * @param call the request as received from the caller, without its key, not null
 * @param key the caller's key; empty if there is none, or more than one
 * @param attributes the attributes from its headers, including a request id, not null
 * @param owner the owner of the call; empty if the route or the configuration needs none
 * @param route the route that matches the request, not null
 * @param service the service chosen for it, not null
 * @param origin the begin of the stream that the call takes up; empty if it takes none up
 * @param configVersion the version of the configuration that decided
 * @param takenOver whether another instance passed the call on to this one, so that it is not passed on again
 * @param counted whether the retry budget of another instance has counted it as a request
 */
record RoutedCall(
        IncomingCall call,
        Optional<ApiKey> key,
        CallAttributes attributes,
        Optional<CallOwner> owner,
        ServiceRoute route,
        ServiceEntry service,
        Optional<StreamOrigin.Known> origin,
        long configVersion,
        boolean takenOver,
        boolean counted) {

    RoutedCall {
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attributes, "attributes");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(origin, "origin");
    }
}
