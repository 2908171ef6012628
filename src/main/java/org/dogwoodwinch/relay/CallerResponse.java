package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.dogwoodwinch.bytes.Bytes;

/** Writes the answer of one call to its caller; used on the event loop alone. */
interface CallerResponse {

    /**
     * Writes a whole answer.
     *
     * @param status the HTTP status
     * @param headers without a length, not null
     * @param body the whole body, not null
     */
    void sendResponse(int status, HttpHeaders headers, Bytes body);

    /**
     * Begins an answer whose body follows in pieces.
     *
     * @param status the HTTP status
     * @param headers without a length, not null
     */
    void beginResponse(int status, HttpHeaders headers);

    /**
     * Writes a piece of the body.
     *
     * @param piece the bytes; ownership passes over, not null
     */
    void writeBody(ByteBuf piece);

    /** Ends the body as complete. */
    void endResponse();

    /** Closes the connection without an end of the body, so that the answer cannot look complete. */
    void abortResponse();

    /**
     * Whether the caller takes more bytes now; {@link CallRelay#onCallerWritable} tells when it does again.
     *
     * @return false while too many bytes wait for the caller
     */
    boolean isWritable();
}
