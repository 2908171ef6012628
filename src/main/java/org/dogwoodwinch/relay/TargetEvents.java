package org.dogwoodwinch.relay;

/** Receives what the registry of targets tells of a target, after the directory of targets has it. */
public interface TargetEvents {

    /**
     * Handles a target that is leaving or gone: it gets no new calls.
     *
     * @param targetId its id, not null
     */
    void removeTarget(String targetId);

    /**
     * Handles a target that disappeared without having announced that it drains.
     *
     * @param targetId its id, not null
     */
    void handleTargetLost(String targetId);

    /**
     * Handles a target that completed a stage change and accepts calls again.
     *
     * @param targetId its id, not null
     */
    void handleStageChange(String targetId);

    /**
     * Handles a target that has started again under its id, and knows nothing of before.
     *
     * @param targetId its id, not null
     */
    void handleTargetRestart(String targetId);
}
