package org.dogwoodwinch.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;

/** Makes whole HTTP answers. */
final class Replies {

    /** The media type of JSON. */
    static final String JSON = "application/json";

    private static final long MILLIS_PER_SECOND = 1_000;

    private Replies() {}

    /**
     * Makes an answer.
     *
     * @param status the HTTP status
     * @param contentType the body's media type; empty for none, not null
     * @param content the body, not null
     * @return the answer
     */
    static FullHttpResponse of(int status, String contentType, byte[] content) {
        ByteBuf body = Unpooled.wrappedBuffer(content);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
        if (!contentType.isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
        return response;
    }

    /**
     * Makes the answer of a refusal.
     *
     * @param refusal the refusal, not null
     * @param requestId names the request, not null
     * @return the answer
     */
    static FullHttpResponse refusal(Refusal refusal, String requestId) {
        byte[] content = EdgeJson.write(Problem.of(refusal, requestId));
        FullHttpResponse response = of(refusal.reason().status(), Problem.MEDIA_TYPE, content);
        response.headers().set(EdgeHeaders.REQUEST_ID, requestId);
        response.headers().set(EdgeHeaders.REFUSAL, refusal.reason().label());
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        if (refusal.reason() == RefusalReason.UNAUTHENTICATED) {
            response.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
        }
        return response;
    }

    /**
     * Says in an answer whether the connection stays open.
     *
     * @param response the answer, not null
     * @param keepAlive whether it stays open
     */
    static void setKeepAlive(HttpResponse response, boolean keepAlive) {
        response.headers()
                .set(HttpHeaderNames.CONNECTION, keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    }
}
