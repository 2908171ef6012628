package org.dogwoodwinch.request;

import java.util.Set;

/** Tracks, by fingerprint, the requests that are suspected of crashing targets. Thread-safe. */
public interface Quarantine {

    /** A quarantine without suspects, which ignores all events. */
    Quarantine NONE = new Quarantine() {
        @Override
        public Status statusOf(long _fingerprint) {
            return Status.CLEAR;
        }

        @Override
        public long quarantineRemainingMillis(long _fingerprint) {
            return 0;
        }

        @Override
        public Set<String> trialTargets() {
            return Set.of();
        }

        @Override
        public void onTrialStarted(long _fingerprint, String _attemptId, String _target) {}

        @Override
        public void onCrash(long _fingerprint, String _attemptId, String _target) {}

        @Override
        public void onAttemptEnded(long _fingerprint, String _attemptId, boolean _completed) {}
    };

    /** The quarantine status of a request. */
    enum Status {
        /** The request is not suspected. */
        CLEAR,
        /** The request was in flight on a target that crashed; it runs alone if a target is available for that. */
        SUSPECT,
        /** The request was in flight on at least two targets that crashed; it may only run alone. */
        REPEATED_SUSPECT,
        /** The request crashed targets and is refused. */
        QUARANTINED
    }

    /**
     * Returns the quarantine status of a request.
     *
     * @param fingerprint the request's fingerprint
     * @return the status
     */
    Status statusOf(long fingerprint);

    /**
     * Returns for how long a request remains in quarantine.
     *
     * @param fingerprint the request's fingerprint
     * @return the time in milliseconds; zero if it is not in quarantine
     */
    long quarantineRemainingMillis(long fingerprint);

    /**
     * Returns the targets on which a suspect runs in a trial, so that other requests can avoid them.
     *
     * @return a copy of the set of the targets' ids
     */
    Set<String> trialTargets();

    /**
     * Called when a suspect is about to run alone on a target.
     *
     * @param fingerprint the request's fingerprint
     * @param attemptId the attempt's id, not null
     * @param target the name of the target's start ({@link TargetStart}), not null
     */
    void onTrialStarted(long fingerprint, String attemptId, String target);

    /**
     * Called when a target crashed while an attempt was in flight on it.
     *
     * @param fingerprint the request's fingerprint
     * @param attemptId the attempt's id, not null
     * @param target the name of the target's start ({@link TargetStart}), not null
     */
    void onCrash(long fingerprint, String attemptId, String target);

    /**
     * Called when an attempt ended without a crash.
     *
     * @param fingerprint the request's fingerprint
     * @param attemptId the attempt's id, not null
     * @param completed whether the answer is complete, which clears the request of suspicion
     */
    void onAttemptEnded(long fingerprint, String attemptId, boolean completed);
}
