package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * A call as it is written to a target.
 *
 * @param requestId the id that the answer must bear, not null
 * @param method the caller's method, not null
 * @param uri the caller's path and query, unchanged, not null
 * @param headers complete but for the length, not null
 * @param body the caller's body, unchanged, not null
 * @param lengthStated whether a length is written although the body is empty
 */
public record OutboundCall(
        String requestId, HttpMethod method, String uri, HttpHeaders headers, Bytes body, boolean lengthStated) {

    /** Validates the components. */
    public OutboundCall {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }
}
