package org.dogwoodwinch.forwarding;

/**
 * What was done for a call so far.
 *
 * @param idempotent whether a second run does no harm
 * @param sendsCount targets that got bytes of it
 * @param failedConnectsCount tries that ended before a byte was written
 * @param maxSendsCount the most targets that it may be sent to
 * @param remainingMillis time left of its deadline
 * @param mayHaveRun whether an earlier send may have run
 */
public record CallProgress(
        boolean idempotent,
        int sendsCount,
        int failedConnectsCount,
        int maxSendsCount,
        long remainingMillis,
        boolean mayHaveRun) {}
