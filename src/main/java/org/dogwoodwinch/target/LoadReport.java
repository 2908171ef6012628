package org.dogwoodwinch.target;

/**
 * An engine's report of its load. It is older than the engine's actual load.
 *
 * @param reportedAtMillis the time of the measurement, in milliseconds of the engine's own wall clock
 * @param queuedPrefillTokens prompt tokens that are accepted and not yet computed
 * @param queuedDecodeTokens the engine's estimate of the tokens still to be generated for accepted requests
 * @param runningRequests requests in the batch
 * @param waitingRequests requests that wait to enter the batch
 * @param kvUsedBytes KV cache memory in use
 * @param kvTotalBytes total KV cache memory
 * @param prefillTokensPerSecond prompt tokens computed per second under load
 * @param decodeTokensPerSecond tokens generated per second over the whole batch under load
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
