package org.dogwoodwinch.forwarding;

/**
 * The attempts made for a call so far.
 *
 * @param idempotent whether the call may safely run more than once
 * @param possibleRunsCount number of targets that may have run the call
 * @param rejectionsCount number of targets that received the call without running it: they stated so, or were only to
 *     prefill its prompt
 * @param failedConnectsCount number of attempts that ended before any byte was written
 * @param maxRunsCount maximum number of targets that may run the call
 * @param remainingMillis time left until the call's deadline
 * @param untilCapacityMillis time until a target may accept the call; zero if one may at once, or none is known
 */
public record CallProgress(
        boolean idempotent,
        int possibleRunsCount,
        int rejectionsCount,
        int failedConnectsCount,
        int maxRunsCount,
        long remainingMillis,
        long untilCapacityMillis) {

    /**
     * Returns whether an earlier attempt may have run the call, so that reporting it as not run could be false.
     *
     * @return whether at least one target may have run the call
     */
    public boolean mayHaveRun() {
        return possibleRunsCount > 0;
    }

    /**
     * Returns whether any target received bytes of the call, which makes a further attempt a retry.
     *
     * @return whether the call reached a target
     */
    public boolean hasReachedTarget() {
        return possibleRunsCount + rejectionsCount > 0;
    }
}
