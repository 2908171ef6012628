package org.dogwoodwinch.request;

import java.util.HashSet;
import java.util.Set;

/**
 * What is known of one request's attempts: which may have reached a target, and which targets failed.
 *
 * <p>The word of a refusal comes from here alone. An attempt counts as possibly run from the moment before its first
 * byte could be written; only the proof of its target ({@code TargetFailure.provesNotRun()}) takes that back. Whatever
 * path leads to a refusal, "not run" is then said only of a request that did not run. Not thread-safe.
 */
public final class AttemptTracker {

    private final Set<String> possiblyRunAttempts = new HashSet<>();
    private final Set<String> failedTargets = new HashSet<>();
    private int attempts;

    /**
     * An attempt is about to be written.
     *
     * @param attemptId names it, not null
     */
    public void onSend(String attemptId) {
        possiblyRunAttempts.add(attemptId);
        attempts++;
    }

    /**
     * An attempt is proved not to have run.
     *
     * @param attemptId names it, not null
     */
    public void onProvedNotRun(String attemptId) {
        possiblyRunAttempts.remove(attemptId);
    }

    /**
     * A target failed and is not asked again by this request.
     *
     * @param target its name, not null
     */
    public void onTargetFailed(String target) {
        failedTargets.add(target);
    }

    /**
     * Returns whether the request may have run.
     *
     * @return not run only where each attempt is proved not to have run
     */
    public RunState runState() {
        return possiblyRunAttempts.isEmpty() ? RunState.NOT_RUN : RunState.MAY_HAVE_RUN;
    }

    /**
     * Returns how many attempts were sent.
     *
     * @return the count, zero or more
     */
    public int attempts() {
        return attempts;
    }

    /**
     * Returns the targets that failed.
     *
     * @return their names, in a copy
     */
    public Set<String> failedTargets() {
        return Set.copyOf(failedTargets);
    }
}
