package org.dogwoodwinch.request;

/**
 * Settings of request processing.
 *
 * @param maxAttempts the maximum number of attempts per request, including the first, one or more
 * @param retryFraction the number of retries per first attempt allowed to each owner and to this instance, from 0 to 1
 * @param retryBurst the number of retries that can be saved up, which allows retries at a low request rate
 * @param backoffBaseMillis the upper bound of the first retry delay, in milliseconds
 * @param backoffMaxMillis the upper bound of every retry delay, in milliseconds
 * @param stallTimeoutMillis how long a target may send nothing before the attempt times out, in milliseconds
 * @param claimTimeoutMillis how long to wait for a claim before the request is refused as not run, in milliseconds
 * @param keyMemoryMillis how long an idempotency key is retained, in milliseconds
 * @param logRetentionMillis how long the platform's log retains records, in milliseconds
 * @param maxStoredAnswerBytes the size of the largest answer that is stored on the log for resends, in bytes of UTF-8
 * @param joinWaitMillis how long a resend waits for the earlier request's outcome, in milliseconds
 * @param suspicionMillis how long a request remains a suspect, in milliseconds
 * @param quarantineMillis how long a request remains in quarantine, in milliseconds
 */
public record RequestSettings(
        int maxAttempts,
        double retryFraction,
        int retryBurst,
        long backoffBaseMillis,
        long backoffMaxMillis,
        long stallTimeoutMillis,
        long claimTimeoutMillis,
        long keyMemoryMillis,
        long logRetentionMillis,
        int maxStoredAnswerBytes,
        long joinWaitMillis,
        long suspicionMillis,
        long quarantineMillis) {

    /** The largest fraction of the log's retention that the key retention may take. */
    private static final double MAX_RETENTION_FRACTION = 0.8;

    /** The default settings. */
    public static final RequestSettings DEFAULT = new RequestSettings(
            4, 0.1, 10, 50, 1_000, 30_000, 2_000, 600_000, 3_600_000, 8_192, 5_000, 600_000, 3_600_000);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if a value is out of range, or if keys would be retained for longer than four
     *     fifths of the log's retention: a starting instance reads only the records that the log still retains, and
     *     would run a request again whose claim has expired from the log
     */
    public RequestSettings {
        require(maxAttempts >= 1, "maxAttempts must be one or more");
        require(retryFraction >= 0 && retryFraction <= 1, "retryFraction must be from 0 to 1");
        require(retryBurst >= 0, "retryBurst must not be negative");
        require(
                backoffBaseMillis > 0 && backoffMaxMillis >= backoffBaseMillis,
                "backoffMaxMillis must be at least backoffBaseMillis, and both more than zero");
        require(
                stallTimeoutMillis > 0 && claimTimeoutMillis > 0,
                "stallTimeoutMillis and claimTimeoutMillis must be more than zero");
        require(keyMemoryMillis > 0, "keyMemoryMillis must be more than zero");
        require(
                keyMemoryMillis <= logRetentionMillis * MAX_RETENTION_FRACTION,
                "keyMemoryMillis must be at most four fifths of logRetentionMillis");
        require(maxStoredAnswerBytes >= 0, "maxStoredAnswerBytes must not be negative");
        require(joinWaitMillis >= 0, "joinWaitMillis must not be negative");
        require(
                suspicionMillis > 0 && quarantineMillis > 0,
                "suspicionMillis and quarantineMillis must be more than zero");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
