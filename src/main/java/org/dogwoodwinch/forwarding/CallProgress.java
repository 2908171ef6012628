package org.dogwoodwinch.forwarding;

/**
 * What was done for a call so far.
 *
 * @param idempotent whether a second run does no harm
 * @param possibleRunsCount targets that may have run it
 * @param rejectionsCount targets that got it and did not run it: they stated so, or were only to read its prompt
 * @param failedConnectsCount tries that ended before a byte was written
 * @param maxRunsCount the most targets that may run it
 * @param remainingMillis time left of its deadline
 */
public record CallProgress(
        boolean idempotent,
        int possibleRunsCount,
        int rejectionsCount,
        int failedConnectsCount,
        int maxRunsCount,
        long remainingMillis) {

    /**
     * Says whether a promise that it did not run would be false.
     *
     * @return whether an earlier send may have run
     */
    public boolean mayHaveRun() {
        return possibleRunsCount > 0;
    }

    /**
     * Says whether a target got bytes of it.
     *
     * @return whether another send would be a repeat
     */
    public boolean sent() {
        return possibleRunsCount + rejectionsCount > 0;
    }
}
