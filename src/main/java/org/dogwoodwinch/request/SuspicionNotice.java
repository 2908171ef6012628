package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * What one instance tells the others of a request that may crash targets.
 *
 * @param kind what happened, not null
 * @param fingerprint the request's fingerprint
 * @param target the target concerned; empty where none is, not null
 * @param remainingMillis how much longer it holds when it is told, in milliseconds
 */
public record SuspicionNotice(Kind kind, long fingerprint, String target, long remainingMillis) {

    /** What happened. */
    public enum Kind {
        /** It was in flight on a target that crashed. */
        SUSPECT,
        /** It is about to run alone on a target. */
        TRIAL,
        /** The run alone has ended. */
        TRIAL_ENDED,
        /** It crashed a target while it ran alone. */
        QUARANTINED,
        /** It completed: it was innocent. */
        CLEARED,
        /** An operator lifted its quarantine. */
        LIFTED
    }

    /** Checks the parts. */
    public SuspicionNotice {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(target, "target");
    }
}
