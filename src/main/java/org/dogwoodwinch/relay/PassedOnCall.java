package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.ServiceRoute;

/**
 * A call that is passed on to another instance.
 *
 * @param call the request as received from the caller, without its key, not null
 * @param key the caller's key, which the other instance checks; empty if there is none
 * @param attributes the attributes from its headers, including a request id, not null
 * @param route the route that matches the request, not null
 * @param mayHaveRun whether a target may have run it before it was passed on, so that it must not be refused as not run
 */
record PassedOnCall(
        IncomingCall call, Optional<ApiKey> key, CallAttributes attributes, ServiceRoute route, boolean mayHaveRun) {

    PassedOnCall {
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attributes, "attributes");
        Objects.requireNonNull(route, "route");
    }

    String requestId() {
        return attributes.requestId().orElseThrow();
    }

    long deadlineMillis() {
        return call.deadlineMillis(route, attributes);
    }
}
