package org.dogwoodwinch.history;

import java.util.Objects;

/** What became of an attempt on a target, recorded by the target. */
public sealed interface AttemptEvent extends HistoryEvent {

    /**
     * Returns the target.
     *
     * @return its name
     */
    String target();

    /**
     * Returns which attempt it is about.
     *
     * @return the attempt's id
     */
    String attemptId();

    /**
     * A target began to run an attempt.
     *
     * @param atMillis when, in milliseconds
     * @param target the target, not null
     * @param attemptId the attempt, not null
     * @param requestId the request, which the target reads from the prompt or the body, not null
     */
    record Executed(long atMillis, String target, String attemptId, String requestId) implements AttemptEvent {

        /** Checks the parts. */
        public Executed {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(attemptId, "attemptId");
            Objects.requireNonNull(requestId, "requestId");
        }
    }

    /**
     * A target refused an attempt and ran nothing of it.
     *
     * @param atMillis when, in milliseconds
     * @param target the target, not null
     * @param attemptId the attempt, not null
     */
    record Declined(long atMillis, String target, String attemptId) implements AttemptEvent {

        /** Checks the parts. */
        public Declined {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(attemptId, "attemptId");
        }
    }

    /**
     * A target stopped running an attempt before its end.
     *
     * @param atMillis when, in milliseconds
     * @param target the target, not null
     * @param attemptId the attempt, not null
     * @param cause why, not null
     */
    record Cut(long atMillis, String target, String attemptId, Cause cause) implements AttemptEvent {

        /** Checks the parts. */
        public Cut {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(attemptId, "attemptId");
            Objects.requireNonNull(cause, "cause");
        }
    }

    /** Why a target stopped running an attempt. */
    enum Cause {
        /** An order changed the target's configuration. */
        PLANNED_CHANGE,
        /** The target crashed. */
        CRASH,
        /** Whoever sent the attempt cancelled it. */
        CANCELLED
    }
}
