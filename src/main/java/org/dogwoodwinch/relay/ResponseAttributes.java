package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The attributes of a call that a target states in the head of its response.
 *
 * @param status the HTTP status
 * @param identified whether the response states the id of a call
 * @param signed whether the response carries the target's signature
 * @param statesNotRun whether the response states that the call did not run
 * @param encoded whether the body is encoded and so differs from the target's own bytes
 * @param idleTimeoutMillis how long the target keeps an idle connection open; empty if it does not state it
 * @param rateLimitPerSecond the rate limit of the target for all instances together, in calls per second; empty if it
 *     states none
 * @param restMillis the time for which the target wants no request of this instance, in milliseconds; empty unless it
 *     turned the call away and states it
 * @param leaving whether the target states that it is leaving
 */
public record ResponseAttributes(
        int status,
        boolean identified,
        boolean signed,
        boolean statesNotRun,
        boolean encoded,
        OptionalLong idleTimeoutMillis,
        OptionalDouble rateLimitPerSecond,
        OptionalLong restMillis,
        boolean leaving) {

    private static final int SUCCESS_CLASS = 2;
    private static final int CLASS_DIVISOR = 100;
    private static final int MISDIRECTED = 421;

    /** Validates the components. */
    public ResponseAttributes {
        Objects.requireNonNull(idleTimeoutMillis, "idleMillis");
        Objects.requireNonNull(rateLimitPerSecond, "limitPerSecond");
        Objects.requireNonNull(restMillis, "restMillis");
    }

    /** Returns whether another target has the address now, or the target has another stage than expected. */
    boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** Returns whether the status is 2xx; does not check the other conditions of a proven success. */
    boolean isSuccess() {
        return status / CLASS_DIVISOR == SUCCESS_CLASS;
    }

    /** Returns whether the call has not run and never will. A success does not state that, whatever its fields say. */
    boolean isRejected() {
        return (statesNotRun && !isSuccess()) || isMisdirected();
    }
}
