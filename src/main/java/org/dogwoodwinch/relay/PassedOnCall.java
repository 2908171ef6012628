package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.ServiceRoute;

/**
 * A call that is passed on to another instance.
 *
 * @param call the request as received from the caller, without its key, not null
 * @param key the caller's key, which the other instance checks; empty if there is none
 * @param attributes the attributes from its headers, including a request id, not null
 * @param route the route that matches the request, not null
 * @param reason why it is passed on, not null
 * @param counted whether the retry budget of this instance has counted it as a request
 * @param mayHaveRun whether a target may have run it before it was passed on, so that it must not be refused as not run
 * @param tryTakeRetry takes a retry from the budget of this instance after the call was lost, not null
 */
record PassedOnCall(
        IncomingCall call,
        Optional<ApiKey> key,
        CallAttributes attributes,
        ServiceRoute route,
        PassReason reason,
        boolean counted,
        boolean mayHaveRun,
        BooleanSupplier tryTakeRetry) {

    PassedOnCall {
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attributes, "attributes");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(tryTakeRetry, "tryTakeRetry");
    }

    String requestId() {
        return attributes.requestId().orElseThrow();
    }

    long deadlineMillis() {
        return call.deadlineMillis(route, attributes);
    }
}
