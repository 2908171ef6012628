package org.dogwoodwinch.request;

import java.util.Set;

/** Requests that are suspected of crashing targets, by fingerprint. Safe to call from many threads. */
public interface Quarantine {

    /** Knows of no suspects. */
    Quarantine NONE = new Quarantine() {
        @Override
        public Standing standing(long _fingerprint) {
            return Standing.CLEAR;
        }

        @Override
        public Set<String> trialTargets() {
            return Set.of();
        }

        @Override
        public void onTrial(long _fingerprint, String _attemptId, String _target) {}

        @Override
        public void onCrash(long _fingerprint, String _attemptId, String _target) {}

        @Override
        public void onEnded(long _fingerprint, String _attemptId, boolean _completed) {}
    };

    /** How a request stands. */
    enum Standing {
        /** Nothing is held against it. */
        CLEAR,
        /** It was in flight on a target that crashed: it runs alone where a target is free for it. */
        SUSPECT,
        /** It was in flight on two targets that crashed: it runs only alone. */
        REPEATED_SUSPECT,
        /** It crashed targets and is refused. */
        QUARANTINED
    }

    /**
     * Looks a request up.
     *
     * @param fingerprint its fingerprint
     * @return how it stands
     */
    Standing standing(long fingerprint);

    /**
     * Returns the targets on which a suspect runs, so that no other work is put beside it.
     *
     * @return their names, in a copy
     */
    Set<String> trialTargets();

    /**
     * A suspect is about to run alone on a target.
     *
     * @param fingerprint its fingerprint
     * @param attemptId names the attempt, not null
     * @param target the target's name, not null
     */
    void onTrial(long fingerprint, String attemptId, String target);

    /**
     * A target crashed while an attempt was in flight on it.
     *
     * @param fingerprint the request's fingerprint
     * @param attemptId names the attempt, not null
     * @param target the target's name, not null
     */
    void onCrash(long fingerprint, String attemptId, String target);

    /**
     * An attempt ended without a crash.
     *
     * @param fingerprint the request's fingerprint
     * @param attemptId names the attempt, not null
     * @param completed whether the answer is whole, which clears the request
     */
    void onEnded(long fingerprint, String attemptId, boolean completed);
}
