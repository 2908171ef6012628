package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the headers that callers, targets and this system understand; names them for nobody else. */
public interface CallHeaders {

    /**
     * Reads what a caller states.
     *
     * @param headers the call's headers, not null
     * @return the facts
     */
    CallFacts readCall(HttpHeaders headers);

    /**
     * Makes the headers of a send from a caller's: without those of one connection, without those that only this system
     * may set, and with what this send states.
     *
     * @param callers the caller's headers, not null; unchanged
     * @param facts what the send states, not null
     * @return new headers, without a length
     */
    HttpHeaders forSend(HttpHeaders callers, SendFacts facts);

    /**
     * Reads what a target states.
     *
     * @param answer the answer's head, not null
     * @return the facts
     */
    AnswerFacts readAnswer(HttpResponse answer);

    /**
     * Makes the headers of an answer to a caller from a target's, without those of one connection.
     *
     * @param targets the target's headers, not null; unchanged
     * @return new headers, without a length
     */
    HttpHeaders forCaller(HttpHeaders targets);
}
