package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.relay.SegmentGuard;
import org.dogwoodwinch.request.QuarantinedSegment;
import org.dogwoodwinch.request.SegmentQuarantine;

/** The segments that a guard holds back, for operators. Confined to the event loop of the guard. */
final class GuardedSegments implements SegmentQuarantine {

    private final SegmentGuard guard;

    GuardedSegments(SegmentGuard guard) {
        this.guard = Objects.requireNonNull(guard, "guard");
    }

    @Override
    public List<QuarantinedSegment> list() {
        return guard.listHeld().stream()
                .map(held -> new QuarantinedSegment(
                        held.segment().model(),
                        held.segment().id(),
                        held.crashesCount(),
                        held.trialsCount(),
                        held.lastCrashAgeMillis(),
                        held.remainingMillis()))
                .toList();
    }

    @Override
    public boolean lift(String model, String segment) {
        return guard.lift(new SegmentId(model, segment));
    }
}
