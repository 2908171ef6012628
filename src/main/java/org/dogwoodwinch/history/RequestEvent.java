package org.dogwoodwinch.history;

import java.util.Objects;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;

/**
 * What a caller did and got, recorded by the caller.
 *
 * <p>A request is what the caller wants done once; a call is one try to have it done. A resend is another call of the
 * same request.
 */
public sealed interface RequestEvent extends HistoryEvent {

    /**
     * Returns which call it is about.
     *
     * @return the call's id
     */
    String callId();

    /**
     * A caller sent a request.
     *
     * @param atMillis when, in milliseconds
     * @param callId names this call, unique in the run, not null
     * @param requestId names the request; the same for a resend under the same idempotency key, not null
     * @param instance the instance that it was sent to, not null
     * @param workClass the class of work, not null
     * @param repeatable whether the request may run more than once
     * @param expectedAnswer a digest of the one whole right answer, not null
     */
    record Invoked(
            long atMillis,
            String callId,
            String requestId,
            String instance,
            WorkClass workClass,
            boolean repeatable,
            String expectedAnswer)
            implements RequestEvent {

        /** Checks the parts. */
        public Invoked {
            Objects.requireNonNull(callId, "callId");
            Objects.requireNonNull(requestId, "requestId");
            Objects.requireNonNull(instance, "instance");
            Objects.requireNonNull(workClass, "workClass");
            Objects.requireNonNull(expectedAnswer, "expectedAnswer");
        }
    }

    /**
     * A caller got an answer that claims to be whole.
     *
     * @param atMillis when, in milliseconds
     * @param callId the call, not null
     * @param answer a digest of what it got, not null
     */
    record Answered(long atMillis, String callId, String answer) implements RequestEvent {

        /** Checks the parts. */
        public Answered {
            Objects.requireNonNull(callId, "callId");
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * A caller got a refusal, before or after a part of the answer.
     *
     * @param atMillis when, in milliseconds
     * @param callId the call, not null
     * @param reason why, not null
     * @param run what the refusal says about the request's run, not null
     */
    record Refused(long atMillis, String callId, RefusalReason reason, RunState run) implements RequestEvent {

        /** Checks the parts. */
        public Refused {
            Objects.requireNonNull(callId, "callId");
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(run, "run");
        }
    }

    /**
     * A caller's connection broke, or it gave up waiting, with neither a whole answer nor a refusal.
     *
     * @param atMillis when, in milliseconds
     * @param callId the call, not null
     * @param connected whether the instance had taken the connection; where it had not, the request cannot have run
     * @param detail what the caller saw, not null
     */
    record Lost(long atMillis, String callId, boolean connected, String detail) implements RequestEvent {

        /** Checks the parts. */
        public Lost {
            Objects.requireNonNull(callId, "callId");
            Objects.requireNonNull(detail, "detail");
        }
    }
}
