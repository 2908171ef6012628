package org.dogwoodwinch.request;

/**
 * What may be set of a request's life.
 *
 * @param maxAttempts the most attempts of one request, the first included, one or more
 * @param retryFraction how many retries an owner, and this instance, may make for each first attempt, from 0 to 1
 * @param retryBurst how many retries may be made at once after quiet, so that a small site can retry at all
 * @param backoffBaseMillis the upper bound of the first wait before a retry, in milliseconds
 * @param backoffMaxMillis the upper bound of any wait before a retry, in milliseconds
 * @param stallMillis how long a target may send nothing before the attempt counts as timed out, in milliseconds
 * @param claimMillis how long a claim is waited for before the request is refused as not run, in milliseconds
 * @param keyMemoryMillis how long an idempotency key is remembered, in milliseconds
 * @param logRetentionMillis how long the platform's log keeps records, in milliseconds
 * @param maxKeptAnswerBytes the largest answer that is kept on the log for a resend, in bytes of UTF-8
 * @param joinWaitMillis how long a resend waits for the first request's outcome, in milliseconds
 * @param suspectMillis how long a suspicion lasts, in milliseconds
 * @param quarantineMillis how long a quarantine lasts, in milliseconds
 */
public record RequestSettings(
        int maxAttempts,
        double retryFraction,
        int retryBurst,
        long backoffBaseMillis,
        long backoffMaxMillis,
        long stallMillis,
        long claimMillis,
        long keyMemoryMillis,
        long logRetentionMillis,
        int maxKeptAnswerBytes,
        long joinWaitMillis,
        long suspectMillis,
        long quarantineMillis) {

    /** The part of the log's retention that must be left over when a key is forgotten. */
    private static final double MAX_RETENTION_FRACTION = 0.8;

    /** What holds where the settings say nothing. */
    public static final RequestSettings DEFAULT = new RequestSettings(
            4, 0.1, 10, 50, 1_000, 30_000, 2_000, 600_000, 3_600_000, 8_192, 5_000, 600_000, 3_600_000);

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if one is out of range, or if keys would be remembered for longer than four
     *     fifths of the log's retention: a starter folds the retained records only, and would run a key again whose
     *     claim has expired
     */
    public RequestSettings {
        require(maxAttempts >= 1, "maxAttempts must be one or more");
        require(retryFraction >= 0 && retryFraction <= 1, "retryFraction must be from 0 to 1");
        require(retryBurst >= 0, "retryBurst must not be negative");
        require(
                backoffBaseMillis > 0 && backoffMaxMillis >= backoffBaseMillis,
                "backoffMaxMillis must be at least backoffBaseMillis, and both more than zero");
        require(stallMillis > 0 && claimMillis > 0, "stallMillis and claimMillis must be more than zero");
        require(keyMemoryMillis > 0, "keyMemoryMillis must be more than zero");
        require(
                keyMemoryMillis <= logRetentionMillis * MAX_RETENTION_FRACTION,
                "keyMemoryMillis must be at most four fifths of logRetentionMillis");
        require(maxKeptAnswerBytes >= 0, "maxKeptAnswerBytes must not be negative");
        require(joinWaitMillis >= 0, "joinWaitMillis must not be negative");
        require(suspectMillis > 0 && quarantineMillis > 0, "suspectMillis and quarantineMillis must be more than zero");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
