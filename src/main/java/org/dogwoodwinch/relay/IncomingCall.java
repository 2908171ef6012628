package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

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
}
