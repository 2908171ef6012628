package org.dogwoodwinch.http;

/**
 * What one listener takes from those who connect to it.
 *
 * @param maxBodyBytes the longest body
 * @param maxHeaderBytes the longest header section
 * @param maxRequestLineBytes the longest request line
 * @param maxConnections connections at once; further ones are closed at once
 * @param arrivalMillis how long a request may take from its first byte to its last, in milliseconds
 * @param idleMillis how long a connection may stay open between requests, in milliseconds
 * @param slowReaderMillis how long a caller may leave its answer unread, in milliseconds
 */
public record HttpLimits(
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxRequestLineBytes,
        int maxConnections,
        long arrivalMillis,
        long idleMillis,
        long slowReaderMillis) {

    /** What a daemon uses unless its settings say otherwise. */
    public static final HttpLimits STANDARD = new HttpLimits(4 << 20, 16_384, 8_192, 10_000, 10_000, 60_000, 30_000);
}
