package org.dogwoodwinch.standin.platform;

import java.util.Map;

/** Writes the answer to one request to a stand-in. */
public interface StandInAnswer {

    /**
     * Writes a whole answer.
     *
     * @param status the HTTP status
     * @param headers those beside the length, not null
     * @param body the body, not null
     */
    void whole(int status, Map<String, String> headers, byte[] body);

    /**
     * Begins an answer in chunks.
     *
     * @param status the HTTP status
     * @param headers those beside the framing, not null
     */
    void begin(int status, Map<String, String> headers);

    /**
     * Begins an answer without a length and without chunks, which ends with its connection.
     *
     * @param status the HTTP status
     * @param headers all of them, not null
     */
    void beginUnframed(int status, Map<String, String> headers);

    /**
     * Writes a chunk, or bytes of an answer without framing.
     *
     * @param body its bytes, not null
     */
    void chunk(byte[] body);

    /** Writes the end of an answer in chunks, or closes the connection of an answer without framing. */
    void end();

    /**
     * Writes bytes as they are, whatever they are.
     *
     * @param bytes the bytes, not null
     */
    void raw(byte[] bytes);

    /** Closes the connection in an orderly way. */
    void close();

    /** Resets the connection. */
    void reset();

    /**
     * Says whether the one who asked is still there.
     *
     * @return false after the connection closed
     */
    boolean open();
}
