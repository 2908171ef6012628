package org.dogwoodwinch.forwarding;

/** The step that follows an attempt that did not succeed. */
public sealed interface NextStep {

    /** Choose another target and send the call again. */
    record SendAgain() implements NextStep {}

    /**
     * Report to the caller that its call has not run and will not run.
     *
     * @param retryAfterMillis time after which the caller should retry
     */
    record Refuse(long retryAfterMillis) implements NextStep {}

    /** Report to the caller that its call may have run. */
    record FailUnknown() implements NextStep {}

    /** Pass the target's own failure to the caller unchanged. */
    record RelayFailure() implements NextStep {}
}
