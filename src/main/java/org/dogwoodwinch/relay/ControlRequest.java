package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * A request to a control interface or the store, with a short response.
 *
 * @param method the HTTP method, not null
 * @param uri the path and query, not null
 * @param headers the headers except Host and Content-Length, not null
 * @param body the body, not null
 */
public record ControlRequest(HttpMethod method, String uri, HttpHeaders headers, Bytes body) {

    /** Validates the components. */
    public ControlRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }
}
