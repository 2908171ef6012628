package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Takes the answer of one send as it arrives. After {@link #onEnd} or {@link #onLost} nothing more comes. */
public interface ResponseSink {

    /**
     * The head arrived, and it answers this call.
     *
     * @param facts what it states, not null
     * @param headers its headers, not null
     */
    void onHead(AnswerFacts facts, HttpHeaders headers);

    /**
     * A piece of the body arrived.
     *
     * @param piece the bytes, not null; valid only during the call unless retained
     */
    void onBody(ByteBuf piece);

    /** The answer is whole: its length was met, its last chunk seen, or its connection closed in order. */
    void onEnd();

    /**
     * The answer will not come, or not its rest.
     *
     * @param reason what happened, for logs and counters, not null
     * @param connectionAborted whether the connection was opened for this call and ended before an answer began; on a kept one the
     *     target may have closed it for its rest, which says nothing of the target
     */
    void onLost(String reason, boolean connectionAborted);
}
