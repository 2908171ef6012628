package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.dogwoodwinch.bytes.Bytes;

/** Writes the response of one call to its caller. Confined to the event loop. */
interface CallerResponse {

    /**
     * Writes a complete response.
     *
     * @param status the HTTP status
     * @param headers the headers without Content-Length, not null
     * @param body the complete body, not null
     */
    void sendResponse(int status, HttpHeaders headers, Bytes body);

    /**
     * Begins a response whose body follows in chunks.
     *
     * @param status the HTTP status
     * @param headers the headers without Content-Length, not null
     */
    void beginResponse(int status, HttpHeaders headers);

    /**
     * Writes a chunk of the body.
     *
     * @param chunk the bytes, not null; ownership is transferred
     */
    void writeBody(ByteBuf chunk);

    /** Marks the end of a complete body. */
    void endResponse();

    /** Closes the connection without the end of the body, so that the response cannot be taken for a complete one. */
    void abortResponse();

    /**
     * Returns whether the caller can receive more bytes now; {@link CallRelay#onCallerWritable} is called
     * once it can again.
     *
     * @return false while too many bytes are buffered for the caller
     */
    boolean isWritable();
}
