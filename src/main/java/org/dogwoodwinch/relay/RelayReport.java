package org.dogwoodwinch.relay;

import java.util.Optional;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.NextStep;
import org.dogwoodwinch.forwarding.SendCheck;
import org.dogwoodwinch.forwarding.SendOutcome;

/** Receives decisions about calls, for metrics and logs. */
interface RelayReport {

    /** A call was refused before it was routed, with the given response status. */
    void refusedBeforeRouting(String requestId, int status, String reason);

    /** A call was refused because it, or a segment of its prompt, crashes targets. */
    void heldBack(CallRelay call, CallSuspicion.Refusal refusal);

    /** No target is available for the call. */
    void noTarget(CallRelay call);

    /** A target was found unreachable and is not used for {@code pauseMillis}. */
    void targetUnreachable(String targetId, long pauseMillis, String reason);

    /** A remote prefill failed; {@code step} follows. */
    void prefillFailed(CallRelay call, Incarnation engine, String reason, NextStep step, double budgetLeft);

    /** A retry was requested from a service's retry budget. */
    void retryDecided(String service, RetryDecision decision);

    /** Whether the retry budget allowed a retry. */
    enum RetryDecision {
        TAKEN,
        NOT_GRANTED
    }

    /**
     * A send was not successful; {@code step} follows, and {@code budgetLeft} retries remain in the budget after it.
     */
    void sendFailed(CallRelay call, SendOutcome outcome, NextStep step, double budgetLeft);

    /** The deadline passed before the response was complete. */
    void deadlineExceeded(CallRelay call, boolean mayHaveRun);

    /** A call or a prefill was sent to a target. */
    void sent(
            String requestId,
            Incarnation target,
            ForwardingPlan.PrefillWork prefillWork,
            long aheadTokens,
            SendPurpose purpose);

    /** The first byte of a streamed response is sent to the caller. */
    void firstByte(CallRelay call);

    /** A chosen target left, restarted or asked for a rest before a byte was written to it; another one is chosen. */
    void keptFromTarget(String requestId, Incarnation target, SendCheck check);

    /** A stream ended beside which its target prefilled for longer than fits into the stream's accepted gap. */
    void ranBesidePrefill(String service, boolean stalled);

    /** A complete response was received. */
    void succeeded(CallRelay call);

    /**
     * The end of a successful response was seen.
     *
     * @param call the call, not null
     * @param end what showed the end, not null
     * @param verdict whether the response is complete, not null
     * @param eventsCount the number of complete events in it; zero for a response that is not a stream
     */
    void responseEnded(CallRelay call, ResponseEnd end, ResponseVerdict verdict, int eventsCount);

    /**
     * A caller takes up a stream.
     *
     * @param call the call, not null
     * @param origin the service and the software version that began the stream, not null
     */
    void streamTakenUp(CallRelay call, StreamOrigin.Known origin);

    /**
     * A caller takes up a stream whose begin is not known, and is refused.
     *
     * @param call the call, not null
     * @param reason why the begin is not known, not null
     */
    void streamNotTakenUp(IdentifiedCall call, String reason);

    /**
     * The first event of a target's response to a call whose stream can be taken up, or is taken up, is about to be
     * passed on.
     *
     * @param call the call, not null
     * @param event the target of the event and what was demanded of it, not null
     * @param eventId the id of the event; empty if it has none, not null
     */
    void streamFirstEvent(CallRelay call, StreamContinuity.FirstEvent event, Optional<String> eventId);

    /** A call for which a stream was taken up has ended, or was left to another instance, without an event. */
    void streamTakeUpWithoutEvent(CallRelay call);

    /** The caller disconnected before the end of the response. */
    void callerDisconnected(CallRelay call);

    /** The caller disconnected before the call had a service. */
    void callerDisconnected(IdentifiedCall call);
}
