package org.dogwoodwinch.relay;

import java.util.Objects;

/** Passes one call on to another instance, if that may take it over. Confined to one event loop. */
final class CallPassing implements ActiveCall {

    private final NeighbourCalls neighbours;
    private final RoutedCall routed;
    private final CallAttempts attempts;
    private final CallerResponse caller;
    private ActiveCall passedOn = ActiveCall.NONE;

    /**
     * Creates the state of a call that was not passed on.
     *
     * @param neighbours the calls that are passed on to other instances, not null
     * @param routed the call, not null
     * @param attempts the attempts made for the call, not null
     * @param caller writes the response to the caller, not null
     */
    CallPassing(NeighbourCalls neighbours, RoutedCall routed, CallAttempts attempts, CallerResponse caller) {
        this.neighbours = Objects.requireNonNull(neighbours, "neighbours");
        this.routed = Objects.requireNonNull(routed, "routed");
        this.attempts = Objects.requireNonNull(attempts, "attempts");
        this.caller = Objects.requireNonNull(caller, "caller");
    }

    /** Returns whether the call is passed on because this instance is cut off from all targets and another one is not. */
    boolean isDueToIsolation() {
        return !routed.takenOver() && neighbours.arePassedOn();
    }

    /**
     * Passes the call on, which ends it here. Nothing of the response may have been sent to the caller.
     *
     * @param retryAfterMillis when a caller that is refused may come back
     * @param onDone run exactly once, when the call has ended in any way, not null
     */
    void passOn(long retryAfterMillis, Runnable onDone) {
        PassedOnCall call = new PassedOnCall(
                routed.call(), routed.key(), routed.attributes(), routed.route(), attempts.mayHaveRun());
        passedOn = neighbours.passOn(call, caller, retryAfterMillis, onDone);
    }

    @Override
    public void onCallerClosed() {
        passedOn.onCallerClosed();
    }

    @Override
    public void onCallerWritable() {
        passedOn.onCallerWritable();
    }
}
