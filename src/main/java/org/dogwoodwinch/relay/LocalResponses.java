package org.dogwoodwinch.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.Locale;
import org.dogwoodwinch.bytes.Bytes;

/** Responses that this instance generates itself instead of relaying them from a target. */
final class LocalResponses {

    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    static final int REQUEST_TIMEOUT = 408;
    static final int TOO_LARGE = 413;
    static final int HEADERS_TOO_LARGE = 431;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    /** The reason of refusals by an instance that takes no new calls because it ends. */
    static final String STOPPING = "stopping";

    /** Marks the refusal of a call that another instance passed on and that a third one may take over. */
    private static final AsciiString NOT_TAKEN_OVER = AsciiString.cached("x-dogwoodwinch-not-taken-over");

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private LocalResponses() {}

    /** Returns whether a status guarantees that the call did not run and never will. */
    static boolean guaranteesNotRun(int status) {
        return status == UNAVAILABLE || status == REQUEST_TIMEOUT;
    }

    static void sendError(CallerResponse caller, int status, String reason) {
        caller.sendResponse(status, textHeaders(), Bytes.ofUtf8(reason));
    }

    /** Refuses a call that did not run, with a Retry-After header. */
    static void sendRetryable(CallerResponse caller, int status, String reason, long retryAfterMillis) {
        HttpHeaders headers = textHeaders();
        headers.set(
                HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        caller.sendResponse(status, headers, Bytes.ofUtf8(reason));
    }

    /** Tells the instance that passed a call on that it was not taken over and has not run. */
    static void sendNotTakenOver(CallerResponse caller, String reason) {
        caller.sendResponse(UNAVAILABLE, textHeaders().set(NOT_TAKEN_OVER, reason), Bytes.ofUtf8(reason));
    }

    /** Returns whether the instance to which a call was passed on states that it did not take it over. */
    static boolean isNotTakenOver(HttpHeaders headers) {
        return headers.contains(NOT_TAKEN_OVER);
    }

    /** Returns a response to a request that cannot be read; the connection closes behind it. */
    static FullHttpResponse beforeClose(int status, String reason) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(Bytes.ofUtf8(reason).toByteArray()));
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        return response;
    }

    private static HttpHeaders textHeaders() {
        return new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    }
}
