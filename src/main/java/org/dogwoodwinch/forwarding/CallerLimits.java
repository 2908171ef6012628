package org.dogwoodwinch.forwarding;

/**
 * Limits on the size and timing of callers' requests.
 *
 * @param maxHeaderBytes maximum size of the request line and header block
 * @param maxBodyBytes maximum size of the request body
 * @param headerTimeoutMillis maximum time for a caller to send its headers
 * @param idleTimeoutMillis maximum time for a connection to stay open without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** Limits in force until a configuration sets others: the default sizes of common HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 5_000, 30_000);
}
