package org.dogwoodwinch.settings;

/**
 * Retries and idempotency.
 *
 * @param retryBudgetRatio retries allowed for each first attempt, over a while
 * @param maxAttemptsCount attempts of one request, the first included
 * @param backOffMillis the first back-off; it doubles, and half of it is random
 * @param keyMemoryMillis how long an idempotency key is remembered; at most half of the log's retention
 * @param claimBatchMillis how long claims wait for others to share their append
 * @param claimTimeoutMillis how long a request waits for its claim to be read back
 * @param maxOutcomeBytes the largest answer that is kept on the log for resends
 * @param quarantineMillis how long a request that crashes targets stays in quarantine
 */
public record RequestSettings(
        double retryBudgetRatio,
        int maxAttemptsCount,
        long backOffMillis,
        long keyMemoryMillis,
        long claimBatchMillis,
        long claimTimeoutMillis,
        int maxOutcomeBytes,
        long quarantineMillis) {

    static RequestSettings read(SettingsSection section) {
        return new RequestSettings(
                section.number("retryBudgetRatio", 0, 1, 0.1),
                section.wholeInt("maxAttemptsCount", 1, 10, 3),
                section.wholeNumber("backOffMillis", 1, 60_000, 25),
                section.wholeNumber("keyMemoryMillis", 1_000, 1_296_000_000L, 1_800_000),
                section.wholeNumber("claimBatchMillis", 1, 1_000, 25),
                section.wholeNumber("claimTimeoutMillis", 50, 60_000, 2_000),
                section.wholeInt("maxOutcomeBytes", 0, 1_048_576, 65_536),
                section.wholeNumber("quarantineMillis", 1_000, 604_800_000L, 3_600_000));
    }
}
