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
}
