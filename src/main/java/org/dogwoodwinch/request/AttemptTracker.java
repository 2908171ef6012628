package org.dogwoodwinch.request;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks the attempts of one request: which of them may have run on a target, and which targets failed.
 *
 * <p>This class is the only source of the run state that a refusal reports. An attempt counts as possibly run from
 * before its first byte can be written; only proof from the target ({@code TargetFailure.provesNotRun()}) reverses
 * that. On every path that leads to a refusal, "not run" is therefore reported only for a request that did not run. Not
 * thread-safe.
 */
public final class AttemptTracker {

    private final Set<String> possiblyRunAttempts = new HashSet<>();
    private final Set<String> failedTargets = new HashSet<>();
    private int sentCount;

    /**
     * Records that an attempt is about to be sent.
     *
     * @param attemptId the attempt's id, not null
     */
    public void onSend(String attemptId) {
        possiblyRunAttempts.add(attemptId);
        sentCount++;
    }

    /**
     * Records proof that an attempt did not run.
     *
     * @param attemptId the attempt's id, not null
     */
    public void onProvedNotRun(String attemptId) {
        possiblyRunAttempts.remove(attemptId);
    }

    /**
     * Records a failed target, which this request does not use again.
     *
     * @param target the target's name, not null
     */
    public void onTargetFailed(String target) {
        failedTargets.add(target);
    }

    /**
     * Returns whether the request may have run.
     *
     * @return {@link RunState#NOT_RUN} only if every attempt is proved not to have run
     */
    public RunState runState() {
        return possiblyRunAttempts.isEmpty() ? RunState.NOT_RUN : RunState.MAY_HAVE_RUN;
    }

    /**
     * Returns the number of attempts sent.
     *
     * @return the count, zero or more
     */
    public int sentCount() {
        return sentCount;
    }

    /**
     * Returns the targets that failed.
     *
     * @return a copy of the set of their names
     */
    public Set<String> failedTargets() {
        return Set.copyOf(failedTargets);
    }
}
