package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.SegmentId;

/**
 * What one call has to do with crashes of targets: whether it may be sent, by itself and by the segments of its prompt,
 * and what its sends show about both. Confined to one event loop.
 */
final class CallSuspicion {

    private final Suspicions suspicions;
    private final SegmentGuard guard;
    private final String requestId;
    private final long fingerprint;
    private final List<SegmentId> segments;
    private boolean begun;
    private boolean closed;

    /**
     * Creates the suspicion of a call that was not sent yet.
     *
     * @param suspicions the calls that are suspected by themselves, not null
     * @param guard the segments that are suspected, not null
     * @param requestId the id of the call, not null
     * @param fingerprint identifies equal calls of one caller
     * @param segments the segments of its prompt that other calls share, not null
     */
    CallSuspicion(
            Suspicions suspicions, SegmentGuard guard, String requestId, long fingerprint, List<SegmentId> segments) {
        this.suspicions = Objects.requireNonNull(suspicions, "suspicions");
        this.guard = Objects.requireNonNull(guard, "guard");
        this.requestId = Objects.requireNonNull(requestId, "requestId");
        this.fingerprint = fingerprint;
        this.segments = List.copyOf(segments);
    }

    /** Creates the suspicion of a call that has been routed and was not sent yet. */
    static CallSuspicion of(RelayContext context, RoutedCall routed) {
        return new CallSuspicion(
                context.suspicions(),
                context.segments(),
                routed.attributes().requestId().orElse(""),
                Suspicions.fingerprint(routed.call(), routed.owner().map(CallOwner::name)),
                routed.attributes().prompt().map(Prompt::sharedSegments).orElseGet(List::of));
    }

    /**
     * Why a call may not be sent.
     *
     * @param reason the reason for the caller, logs and metrics, not null
     * @param segment the segment that is held back, empty if the call itself is quarantined, not null
     * @param crashesCount the crashes under the segment since an answer with it has begun
     * @param retryAfterMillis when the caller may come back
     */
    record Refusal(String reason, Optional<SegmentId> segment, int crashesCount, long retryAfterMillis) {

        static Refusal of(SegmentGuard.Refusal refusal) {
            return new Refusal(
                    "held_back", Optional.of(refusal.segment()), refusal.crashesCount(), refusal.retryAfterMillis());
        }
    }

    /** Returns the fingerprint of the call, which is the same for equal calls of one caller. */
    long fingerprint() {
        return fingerprint;
    }

    String requestId() {
        return requestId;
    }

    List<SegmentId> segments() {
        return segments;
    }

    boolean isClosed() {
        return closed;
    }

    /** Decides whether the call, which has just arrived, may be sent; it may have to wait for a moment. */
    void admit(Consumer<Optional<Refusal>> onDecided) {
        Optional<Refusal> quarantined = quarantineRefusal();
        if (quarantined.isPresent()) {
            onDecided.accept(quarantined);
        } else {
            guard.admit(this, refusal -> onDecided.accept(refusal.map(Refusal::of)));
        }
    }

    /** Returns why the call may not be written to a target now; empty if it may. */
    Optional<Refusal> refusal() {
        return quarantineRefusal().or(() -> guard.refusalOf(this).map(Refusal::of));
    }

    private Optional<Refusal> quarantineRefusal() {
        return suspicions.isQuarantined(fingerprint)
                ? Optional.of(new Refusal(
                        "quarantined", Optional.empty(), 0, suspicions.quarantineRemainingMillis(fingerprint)))
                : Optional.empty();
    }

    /** Returns whether the call may be sent again after it was lost, or was not run. */
    boolean mayBeSentAgain(boolean isLost) {
        return suspicions.mayBeSentAgain(fingerprint) && !(isLost && guard.isSuspected(this));
    }

    /** Returns the targets to avoid: for a suspect, those that run other suspects. */
    Set<String> targetsToAvoid() {
        return suspicions.targetsToAvoid(fingerprint);
    }

    void recordSent(Incarnation target) {
        begun = false;
        suspicions.recordSend(fingerprint, requestId, target);
        guard.trials().recordSent(this);
    }

    /** Records that the first event of the answer has arrived, or a part of an answer without events was passed on. */
    void recordBegin() {
        if (!begun) {
            begun = true;
            guard.recordBegin(this);
        }
    }

    /**
     * Records that the call was lost with its connection, which alone does not prove a crash of the target.
     *
     * @return whether a segment of its prompt may have crashed the target
     */
    boolean recordLost(Incarnation target) {
        suspicions.recordLostCall(fingerprint, requestId, target, segments, begun);
        guard.trials().end(this, "lost");
        return !begun && !segments.isEmpty();
    }

    /** Records that the call was lost at a target that only read its prompt, and no segment crashes such a target. */
    void recordPrefillLost(Incarnation target) {
        suspicions.recordLostCall(fingerprint, requestId, target, List.of(), false);
    }

    /** Records that a target stated that it did not run the call. */
    void recordNotRun() {
        guard.trials().recordNotRun(this);
    }

    void recordComplete() {
        recordBegin();
        suspicions.recordEnd(fingerprint, requestId, true);
    }

    void recordFailure() {
        suspicions.recordEnd(fingerprint, requestId, false);
    }

    /** Records the end of the call at this instance. */
    void close() {
        if (!closed) {
            closed = true;
            guard.trials().recordClosed(this);
        }
    }
}
