package org.dogwoodwinch.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/**
 * What every answer to one request carries.
 *
 * @param requestId names the request
 * @param keepAlive whether the connection stays open afterwards
 * @param chunked whether the caller understands chunks, which HTTP/1.0 does not
 */
record ReplyContext(String requestId, boolean keepAlive, boolean chunked) {

    /**
     * Adds the headers.
     *
     * @param response the answer, not null
     */
    void addHeaders(HttpResponse response) {
        response.headers().set(EdgeHeaders.REQUEST_ID, requestId);
        Replies.setKeepAlive(response, keepAlive);
    }

    /**
     * Adds the headers to a whole answer and writes it.
     *
     * @param channel the caller's connection, not null
     * @param response the answer, not null
     */
    void writeWhole(Channel channel, FullHttpResponse response) {
        addHeaders(response);
        Channels.writeAndFlush(channel, response);
    }
}
