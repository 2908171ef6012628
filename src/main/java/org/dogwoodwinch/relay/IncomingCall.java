package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * A request that was read whole from a caller.
 *
 * @param method its method, not null
 * @param uri its path and query, unchanged, not null
 * @param headers its headers, not null
 * @param body its body, not null
 * @param framed whether it stated a body, be it an empty one
 * @param arrivalMillis when its first byte arrived, in monotonic milliseconds
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
