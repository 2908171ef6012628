package org.dogwoodwinch.forwarding;

/** What follows on a send that gave no success. */
public sealed interface NextStep {

    /** Choose another target and send again. */
    record SendAgain() implements NextStep {}

    /**
     * Tell the caller that its call has not run and never will.
     *
     * @param retryAfterMillis when to come back
     */
    record Refuse(long retryAfterMillis) implements NextStep {}

    /** Tell the caller that its call may have run. */
    record FailUnknown() implements NextStep {}

    /** Hand the target's own failure on, unchanged. */
    record RelayFailure() implements NextStep {}
}
