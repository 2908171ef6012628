package org.dogwoodwinch.queueing;

/** Whether a call may wait. */
public sealed interface OfferOutcome {

    /**
     * The call waits.
     *
     * @param expectedWaitMillis the expected wait; zero if the service rate is not known
     */
    record Queued(long expectedWaitMillis) implements OfferOutcome {}

    /**
     * The call must not wait.
     *
     * @param reason the reason for logs and metrics, not null
     * @param expectedWaitMillis the wait that was expected
     */
    record Refused(RefusalReason reason, long expectedWaitMillis) implements OfferOutcome {}
}
