package org.dogwoodwinch.relay;

import java.util.Locale;
import java.util.Objects;

/**
 * A request that was read whole and whose connection ended without a complete response to it.
 *
 * @param call the request, not null
 * @param cause who ended it, not null
 * @param passedOn whether it may have been sent to a target or to another instance
 */
record UnansweredRequest(IncomingCall call, Cause cause, boolean passedOn) {

    /** Who ended a request without a complete response. */
    enum Cause {
        /** The caller closed the connection, or it broke. */
        CALLER,
        /** The response had begun when the stop of this instance had to end. */
        STOP,
        /** The response had begun when an error of this instance ended it. */
        OWN_ERROR,
        /** The response had begun and could not be completed. */
        ABORTED_AFTER_BEGIN,
        /** It was read behind a request after which the connection had to close. */
        DROPPED_AT_CLOSE;

        /** Returns the name in logs and metrics. */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    UnansweredRequest {
        Objects.requireNonNull(call, "call");
        Objects.requireNonNull(cause, "cause");
    }
}
