package org.dogwoodwinch.forwarding;

import java.util.Objects;

/** What is known of one send of a call after it ended; the closed set that every answer or retry is decided from. */
public sealed interface SendOutcome {

    /**
     * No byte of the call was given to a connection: it cannot have run, and no target saw it.
     *
     * @param reason why, for logs and counters, not null
     */
    record NotSent(String reason) implements SendOutcome {
        /** Checks. */
        public NotSent {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The target stated that it did not run the call and never will.
     *
     * @param status the status that it answered
     */
    record Rejected(int status) implements SendOutcome {}

    /**
     * A target that was only to read the prompt got the call, and rejected it or broke off: it has not run.
     *
     * @param reason what happened, for logs and counters, not null
     */
    record NotRead(String reason) implements SendOutcome {
        /** Checks. */
        public NotRead {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Bytes of the call were written and no whole answer came: it may have run.
     *
     * @param reason what ended the wait, for logs and counters, not null
     */
    record Unknown(String reason) implements SendOutcome {
        /** Checks. */
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The target ran the call and answered with a failure of its own.
     *
     * @param status the status that it answered
     */
    record RanAndFailed(int status) implements SendOutcome {}
}
