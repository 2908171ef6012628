package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * A notice that one instance sends to the others about a request that may crash targets.
 *
 * @param kind the event, not null
 * @param fingerprint the request's fingerprint
 * @param target the name of the target concerned; empty if there is none, not null
 * @param remainingMillis how long the notice remains valid after it is sent, in milliseconds
 */
public record SuspicionNotice(Kind kind, long fingerprint, String target, long remainingMillis) {

    /** The event that a notice reports. */
    public enum Kind {
        /** The request was in flight on a target that crashed. */
        SUSPECT,
        /** The request is about to run alone on a target. */
        TRIAL,
        /** The trial of the request has ended. */
        TRIAL_ENDED,
        /** The request crashed a target while it ran alone. */
        QUARANTINED,
        /** The request completed and is no longer a suspect. */
        CLEARED,
        /** An operator lifted the quarantine of the request. */
        LIFTED
    }

    /** Checks that no component is null. */
    public SuspicionNotice {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(target, "target");
    }
}
