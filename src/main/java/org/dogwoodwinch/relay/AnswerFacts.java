package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What a target states in the head of an answer.
 *
 * @param status the HTTP status
 * @param requestId the id of the call that it answers, empty where it names none
 * @param signed whether it bears the target's signature
 * @param statesNotRun whether it states that the call did not run
 * @param encoded whether the body is not the target's own bytes
 * @param idleMillis how long the target keeps the connection without a call, empty where it does not say
 * @param limitPerSecond the calls a second that the target takes from all instances together, empty where it names none
 */
public record AnswerFacts(
        int status,
        Optional<String> requestId,
        boolean signed,
        boolean statesNotRun,
        boolean encoded,
        OptionalLong idleMillis,
        OptionalDouble limitPerSecond) {

    private static final int SUCCESS_CLASS = 2;
    private static final int CLASS_DIVISOR = 100;
    private static final int MISDIRECTED = 421;

    /** Checks. */
    public AnswerFacts {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(idleMillis, "idleMillis");
        Objects.requireNonNull(limitPerSecond, "limitPerSecond");
    }

    /** Whether another target has the address, or this one is of the wrong stage by now. */
    boolean isMisdirected() {
        return status == MISDIRECTED;
    }

    /** Whether the status is one of success; what else a success needs is not asked here. */
    boolean isSuccess() {
        return status / CLASS_DIVISOR == SUCCESS_CLASS;
    }

    /** Whether the call has not run and never will. */
    boolean isRejected() {
        return statesNotRun || isMisdirected();
    }
}
