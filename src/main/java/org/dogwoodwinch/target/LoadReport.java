package org.dogwoodwinch.target;

/**
 * An engine's report of its load; it lags.
 *
 * @param reportedAtMillis when the engine measured it, in milliseconds of its own time of day
 * @param queuedPrefillTokens prompt tokens accepted and not yet computed
 * @param queuedDecodeTokens tokens still to be generated for accepted requests, as far as the engine can tell
 * @param runningRequests requests in its batch
 * @param waitingRequests requests that wait for a place in the batch
 * @param kvUsedBytes KV cache in use
 * @param kvTotalBytes KV cache there is
 * @param prefillTokensPerSecond prompt tokens it computes a second when busy
 * @param decodeTokensPerSecond tokens it generates a second over its whole batch when busy
 */
public record LoadReport(
        long reportedAtMillis,
        long queuedPrefillTokens,
        long queuedDecodeTokens,
        int runningRequests,
        int waitingRequests,
        long kvUsedBytes,
        long kvTotalBytes,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond) {}
