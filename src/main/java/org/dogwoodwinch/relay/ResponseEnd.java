package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** What showed that a response has ended. */
public enum ResponseEnd {
    /** All bytes of the stated length were received, or the response has no body. */
    LENGTH,
    /** The last chunk was received. */
    CHUNKS,
    /**
     * The sender closed the connection in an orderly way. The response states neither a length nor chunks, so a process
     * that ended looks the same as the end of the body.
     */
    CONNECTION;

    /**
     * Returns what will show that a response has ended.
     *
     * @param response the head of the response, not null
     * @param withoutBody whether it has no body whatever its headers state
     * @return the end that its framing states
     */
    static ResponseEnd expectedOf(HttpResponse response, boolean withoutBody) {
        int status = response.status().code();
        boolean bodyless = withoutBody
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
        if (!bodyless && HttpUtil.isTransferEncodingChunked(response)) {
            return CHUNKS;
        }
        return bodyless || HttpUtil.isContentLengthSet(response) ? LENGTH : CONNECTION;
    }
}
