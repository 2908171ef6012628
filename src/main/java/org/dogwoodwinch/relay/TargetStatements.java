package org.dogwoodwinch.relay;

/**
 * Receives what targets state about themselves in the heads of their responses, to calls and to control calls alike.
 * Such a statement may be minutes ahead of the target's entry in the platform's store.
 */
public interface TargetStatements {

    /**
     * Records that a target states that it is leaving.
     *
     * @param targetId the id of the target that the call was sent to, not null
     * @param startedMillis the start time of the incarnation that the call was sent to; zero if not stated
     */
    void recordLeaving(String targetId, long startedMillis);

    /**
     * Records that a target turned this instance away and asks it for a rest, which begins now.
     *
     * @param targetId the id of the target that the call was sent to, not null
     * @param startedMillis the start time of the incarnation that the call was sent to; zero if not stated
     * @param restMillis the time for which it wants no request, in milliseconds
     */
    void recordRest(String targetId, long startedMillis, long restMillis);

    /**
     * Returns whether a target wants no request of this instance now.
     *
     * @param targetId the target's id, not null
     * @param startedMillis the start time of the incarnation; zero if not stated
     * @return whether the rest that it asked for is not over
     */
    boolean isResting(String targetId, long startedMillis);
}
