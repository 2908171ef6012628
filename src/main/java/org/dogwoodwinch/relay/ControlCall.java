package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * A call with a short answer.
 *
 * @param method its method, not null
 * @param uri path and query, not null
 * @param headers those beside host and length, not null
 * @param body its body, not null
 */
public record ControlCall(HttpMethod method, String uri, HttpHeaders headers, Bytes body) {

    /** Validates the components. */
    public ControlCall {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }
}
