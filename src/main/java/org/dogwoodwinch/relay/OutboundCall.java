package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * A request to be sent to a target.
 *
 * @param requestId the id that the response must carry, not null
 * @param method the caller's method, not null
 * @param uri the caller's path and query, unchanged, not null
 * @param headers the headers except Content-Length, not null
 * @param body the caller's body, unchanged, not null
 * @param lengthStated whether Content-Length is written even if the body is empty
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
