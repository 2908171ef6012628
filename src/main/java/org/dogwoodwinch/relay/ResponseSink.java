package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Receives the response to one send. No method is called after {@link #onEnd} or {@link #onLost}. */
public interface ResponseSink {

    /**
     * Receives the head of the response, which belongs to this call.
     *
     * @param attributes the attributes that the head states, not null
     * @param headers the response headers, not null
     */
    void onHead(ResponseAttributes attributes, HttpHeaders headers);

    /**
     * Receives a chunk of the body.
     *
     * @param chunk the bytes, not null; valid only during the call unless retained
     */
    void onBody(ByteBuf chunk);

    /**
     * The response has ended.
     *
     * @param end what showed it, not null
     */
    void onEnd(ResponseEnd end);

    /**
     * The rest of the response, or all of it, will not arrive.
     *
     * @param reason the reason for logs and metrics, not null
     * @param connectionAborted whether the connection was opened for this call and closed before a response began;
     *     false for a reused connection, which the target may have closed for being idle
     */
    void onLost(String reason, boolean connectionAborted);

    /**
     * The target sent bytes from which the response to this call cannot be told apart. It goes on working, so this is no
     * evidence of a crash.
     *
     * @param reason the reason for logs and metrics, not null
     */
    default void onUnproved(String reason) {
        onLost(reason, false);
    }
}
