package org.dogwoodwinch.standin;

import org.dogwoodwinch.target.EngineOrder;

/** Hears what a stand-in engine really did: the truth that histories are checked against. */
public interface StandInEngineObserver {

    /** Hears nothing. */
    StandInEngineObserver NONE = new StandInEngineObserver() {
        @Override
        public void onExecuted(String _engine, String _attemptId, String _prompt) {}

        @Override
        public void onApplied(String _engine, EngineOrder _order) {}

        @Override
        public void onCut(String _engine, String _attemptId) {}
    };

    /**
     * The engine began to run a request.
     *
     * @param engine its name
     * @param attemptId the attempt
     * @param prompt the prompt
     */
    void onExecuted(String engine, String attemptId, String prompt);

    /**
     * The engine applied an order.
     *
     * @param engine its name
     * @param order the order
     */
    void onApplied(String engine, EngineOrder order);

    /**
     * An order, not a crash, cut a request that was running.
     *
     * @param engine its name
     * @param attemptId the attempt
     */
    void onCut(String engine, String attemptId);

    /**
     * A crash cut a request that was running.
     *
     * @param _engine its name
     * @param _attemptId the attempt
     */
    default void onCrashCut(String _engine, String _attemptId) {}
}
