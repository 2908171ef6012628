package org.dogwoodwinch.relay;

import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.NextStep;
import org.dogwoodwinch.forwarding.SendOutcome;

/** Hears every decision about a call, to count and to log it. */
interface RelayReport {

    /** A call was refused before it had a route; {@code status} is the answer. */
    void refusedBeforeRouting(String requestId, int status, String reason);

    /** A call that crashes targets was refused. */
    void quarantined(CallRelay call);

    /** No target may get the call. */
    void noTarget(CallRelay call);

    /** A target is left out for a while. */
    void targetUnreachable(String targetId, long pauseMillis, String reason);

    /** An engine did not read a prompt that another would have run, and that follows. */
    void prefillFailed(CallRelay call, Incarnation engine, String reason, NextStep step, double budgetLeft);

    /** One repeat was taken from a service's quota, or not granted. */
    void retryDecided(String service, RetryDecision decision);

    /** What became of a repeat. */
    enum RetryDecision {
        TAKEN,
        NOT_GRANTED
    }

    /** A send gave no success, and that follows; {@code budgetLeft} repeats could be made after it. */
    void sendFailed(CallRelay call, SendOutcome outcome, NextStep step, double budgetLeft);

    /** The time limit came before the answer's end. */
    void deadlineExceeded(CallRelay call, boolean mayHaveRun);

    /** A call or the reading of its prompt goes to a target. */
    void sent(
            String requestId,
            Incarnation target,
            ForwardingPlan.PrefillWork prefillWork,
            long aheadTokens,
            SendPurpose purpose);

    /** The first byte of a streamed answer goes to the caller. */
    void firstByte(CallRelay call);

    /** A target that was chosen left, or became another one, before a byte was written to it: another one is chosen. */
    void targetLeftBeforeSend(String requestId, Incarnation target);

    /** The answer is whole. */
    void succeeded(CallRelay call);

    /** The caller left before the answer's end. */
    void callerDisconnected(CallRelay call);
}
