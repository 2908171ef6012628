package org.dogwoodwinch.forwarding;

/**
 * What a caller may send, and how long it may take or stay idle.
 *
 * @param maxHeaderBytes the largest request line and header block
 * @param maxBodyBytes the largest body
 * @param headerTimeoutMillis how long a caller may take to send its headers
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** In force until a configuration states others: the sizes that common servers start with. */
    public static final CallerLimits INITIAL = new CallerLimits(16_384, 4_194_304, 5_000, 30_000);
}
