package org.dogwoodwinch.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
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

    /** Returns the request as it is written. */
    FullHttpRequest toRequest() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(body.toByteArray()),
                headers,
                EmptyHttpHeaders.INSTANCE);
        if (body.length() > 0 || lengthStated) {
            HttpUtil.setContentLength(request, body.length());
        }
        return request;
    }
}
