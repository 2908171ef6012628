package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.NextStep;

/**
 * Decides whether one call is passed on to another instance, and passes it on. Confined to one event loop.
 *
 * <p>Load: most callers connect to one of many instances. Its share of the targets' connections is that of any other, so
 * it has none for most of its calls while the shares of the others are free.
 *
 * <p>A call of which a target has received anything is not passed on for want of connections: the other instance would
 * send it as a first one, which no retry budget limits.
 */
final class CallPassing implements ActiveCall {

    /** What becomes of a call that this instance would refuse. */
    enum Refusal {
        /** The caller is refused. */
        FINAL,
        /** Another instance may have connections left. */
        PASS_ON,
        /** The instance that passed the call on is told so, and tries another one. */
        NOT_TAKEN_OVER
    }

    private final RelayContext context;
    private final RoutedCall routed;
    private final CallAttempts attempts;
    private final CallRetries retries;
    private final CallerResponse caller;
    private final Runnable onLeave;
    private final Runnable onDone;
    private ActiveCall passedOn = ActiveCall.NONE;

    /**
     * Creates the state of a call that was not passed on.
     *
     * @param context the services that all relays share, not null
     * @param routed the call, not null
     * @param attempts the attempts made for the call, not null
     * @param retries takes retries for the call from the budget, not null
     * @param caller writes the response to the caller, not null
     * @param onLeave run directly before the call is left to another instance; ends all work for it here, not null
     * @param onDone run exactly once, when a call that was left to another instance has ended in any way, not null
     */
    CallPassing(
            RelayContext context,
            RoutedCall routed,
            CallAttempts attempts,
            CallRetries retries,
            CallerResponse caller,
            Runnable onLeave,
            Runnable onDone) {
        this.context = Objects.requireNonNull(context, "context");
        this.routed = Objects.requireNonNull(routed, "routed");
        this.attempts = Objects.requireNonNull(attempts, "attempts");
        this.retries = Objects.requireNonNull(retries, "retries");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.onLeave = Objects.requireNonNull(onLeave, "onLeave");
        this.onDone = Objects.requireNonNull(onDone, "onDone");
    }

    /** Returns whether the call was left to another instance that a relay of this one passes it to. */
    boolean isPassedOn() {
        return passedOn != ActiveCall.NONE;
    }

    private boolean isCutOff() {
        return !routed.takenOver() && context.neighbours().arePassedOn();
    }

    /**
     * Returns whether a call that waits for a target may be passed on because this instance is cut off from all targets.
     * Takes a retry if a target has received anything of the call.
     */
    boolean mayPassOnWaiting() {
        return isCutOff() && (attempts.mayBeWritten() || retries.tryTake(false));
    }

    /**
     * Passes the call on if this instance is cut off from all targets and another one is not. Nothing of the response may
     * have been sent to the caller.
     *
     * @return whether it was passed on, which ends the call here
     */
    boolean passOnIfCutOff() {
        boolean isDue = isCutOff() && attempts.mayBeWritten();
        if (isDue) {
            passOn(PassReason.CUT_OFF, context.retryPolicy().retryAfterMillis());
        }
        return isDue;
    }

    /**
     * Leaves a call that would be refused to another instance, if this one refuses it for want of connections. A call of
     * a caller is passed on. One that was taken over is not: the instance that passed it on is told and tries another
     * one. Nothing of the response may have been sent to the caller.
     *
     * @param refuse the refusal, not null
     * @return whether it was left to others, which ends the call here
     */
    boolean leaveToNeighbours(NextStep.Refuse refuse) {
        if (!attempts.metConnectionsInUse()) {
            return false;
        }
        Refusal refusal = judgeRefusal();
        context.neighbours().recordWithoutConnection(routed.attributes(), refusal);
        if (refusal == Refusal.PASS_ON) {
            passOn(PassReason.NO_CONNECTION, refuse.retryAfterMillis());
        } else if (refusal == Refusal.NOT_TAKEN_OVER) {
            returnCall(TargetConnectionPool.CONNECTIONS_IN_USE);
        }
        return refusal != Refusal.FINAL;
    }

    /**
     * Returns how the call ends when this instance has to. The instance that passed it on tries another one if nothing
     * was written to a target.
     */
    StoppedCall.Ending endingAtStop(boolean isBegun, boolean mayHaveRun) {
        return routed.takenOver() && !attempts.isWritten()
                ? StoppedCall.Ending.NOT_TAKEN_OVER
                : StoppedCall.Ending.of(isBegun, mayHaveRun);
    }

    /**
     * Tells the instance that passed the call on that it was not taken over, which ends the call here.
     *
     * @param reason the reason for its log, not null
     */
    void returnCall(String reason) {
        onLeave.run();
        LocalResponses.sendNotTakenOver(caller, reason);
        onDone.run();
    }

    private Refusal judgeRefusal() {
        if (attempts.isWritten()) {
            return Refusal.FINAL;
        }
        if (routed.takenOver()) {
            return Refusal.NOT_TAKEN_OVER;
        }
        return context.neighbours().canTakeOver() ? Refusal.PASS_ON : Refusal.FINAL;
    }

    private void passOn(PassReason reason, long retryAfterMillis) {
        onLeave.run();
        PassedOnCall call = new PassedOnCall(
                routed.call(),
                routed.key(),
                routed.attributes(),
                routed.route(),
                reason,
                attempts.isWritten(),
                attempts.mayHaveRun(),
                () -> retries.tryTake(true));
        passedOn = context.neighbours().passOn(call, caller, retryAfterMillis, onDone);
    }

    @Override
    public void onCallerClosed() {
        passedOn.onCallerClosed();
    }

    @Override
    public void onCallerWritable() {
        passedOn.onCallerWritable();
    }

    @Override
    public Optional<StoppedCall> onInstanceStop() {
        return passedOn.onInstanceStop();
    }
}
