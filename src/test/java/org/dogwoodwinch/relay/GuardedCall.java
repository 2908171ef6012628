package org.dogwoodwinch.relay;

import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.CrashCorrelator.LostCall;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.time.VirtualTimeSource;

/** A call of a simulation that is subject to a guard of segments, and is sent to targets that the simulation plays. */
public final class GuardedCall {

    private static final Incarnation ANY_TARGET =
            new Incarnation("t", "s", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0);

    private final CallSuspicion suspicion;

    /** Creates a call that has arrived. */
    public GuardedCall(SegmentGuard guard, VirtualTimeSource time, String id, List<SegmentId> segments) {
        this.suspicion = new CallSuspicion(
                new Suspicions(Quarantine.NONE, (_start, _calls) -> {}, time), guard, id, 1, segments);
    }

    /** Decides whether it may be sent. */
    public void admit(Consumer<Boolean> onDecided) {
        suspicion.admit(refusal -> onDecided.accept(refusal.isEmpty()));
    }

    /** Returns whether it may be written to a target now. */
    public boolean mayBeWritten() {
        return suspicion.refusal().isEmpty();
    }

    /** Records that it was written. */
    public void recordSent() {
        suspicion.recordSent(ANY_TARGET);
    }

    /** Records that its answer begins. */
    public void recordBegin() {
        suspicion.recordBegin();
    }

    /** Records that it was lost with its connection. */
    public void recordLost() {
        suspicion.recordLost(ANY_TARGET);
    }

    /** Records its end. */
    public void close() {
        suspicion.close();
    }

    /** Records at an instance that a target crashed under its calls. */
    public static void recordCrash(SegmentGuard guard, String targetStart, List<LostCall> lostCalls) {
        guard.recordCrash(targetStart, lostCalls);
    }
}
