package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.ServiceRoute;

/**
 * A complete request from a caller.
 *
 * @param method the HTTP method, not null
 * @param uri the path and query, unchanged, not null
 * @param headers the headers, not null
 * @param body the body, not null
 * @param framed whether the headers declare a body, even an empty one
 * @param arrivalMillis when the first byte arrived, in monotonic milliseconds
 */
record IncomingCall(
        HttpMethod method, String uri, HttpHeaders headers, Bytes body, boolean framed, long arrivalMillis) {

    IncomingCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns when the caller must have an answer: at the time-out of the route, or at what the caller states if that is
     * earlier.
     *
     * @param route the route that matches the request, not null
     * @param attributes the attributes from its headers, not null
     * @return the deadline, in monotonic milliseconds
     */
    long deadlineMillis(ServiceRoute route, CallAttributes attributes) {
        return arrivalMillis
                + Math.min(route.timeoutMillis(), attributes.deadlineMillis().orElse(Long.MAX_VALUE));
    }
}
