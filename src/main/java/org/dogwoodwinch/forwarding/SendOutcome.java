package org.dogwoodwinch.forwarding;

import java.util.Objects;

/** The outcome of one attempt to send a call to a target. Retries and answers are decided from this closed set. */
public sealed interface SendOutcome {

    /**
     * No byte of the call was written to a connection: no target received it, and it cannot have run.
     *
     * @param reason the cause, for logs and metrics, not null
     */
    record NotSent(String reason) implements SendOutcome {
        /** Validates the component. */
        public NotSent {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The target stated that it has not run the call and will not run it.
     *
     * @param status the status code of the answer
     */
    record Rejected(int status) implements SendOutcome {}

    /**
     * A target that was only to prefill the prompt received the call, and rejected it or broke the connection: the
     * call has not run.
     *
     * @param reason the cause, for logs and metrics, not null
     */
    record NotPrefilled(String reason) implements SendOutcome {
        /** Validates the component. */
        public NotPrefilled {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Bytes of the call were written and no complete answer was received: the call may have run.
     *
     * @param reason what ended the wait, for logs and metrics, not null
     */
    record Unknown(String reason) implements SendOutcome {
        /** Validates the component. */
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The target ran the call and answered with a failure of its own.
     *
     * @param status the status code of the answer
     */
    record RanAndFailed(int status) implements SendOutcome {}
}
