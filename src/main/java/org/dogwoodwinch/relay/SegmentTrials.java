package org.dogwoodwinch.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.CrashingSegments;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.forwarding.SegmentStanding;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The trials of segments that are held back: which ones this instance has claimed for the fleet, and which of its calls
 * makes each. Confined to one event loop.
 */
final class SegmentTrials {

    /** When a caller may come back whose call was refused while a trial is due or being claimed. */
    static final long CLAIM_RETRY_MILLIS = 1_000;

    private static final Logger log = LoggerFactory.getLogger(SegmentTrials.class);

    /** How long a call waits for the store to grant a trial: many times the answer of a store that works. */
    private static final long CLAIM_WAIT_MILLIS = 300;

    /** How long a granted trial may wait for a call. */
    private static final long GRANT_MILLIS = 10_000;

    private final CrashingSegments segments;
    private final SegmentNews news;
    private final SegmentRecords records;
    private final ForwardingMetrics metrics;
    private final TimeSource time;
    private final Map<SegmentId, Long> claimAllowedAtMillis = new HashMap<>();
    private final Map<SegmentId, Grant> grants = new HashMap<>();

    /**
     * Creates an object without trials.
     *
     * @param segments decides when trials are due, not null
     * @param news tells the other instances of trials, not null
     * @param records grants trials, not null
     * @param metrics counts trials, not null
     * @param time clock and timers of the event loop, not null
     */
    SegmentTrials(
            CrashingSegments segments,
            SegmentNews news,
            SegmentRecords records,
            ForwardingMetrics metrics,
            TimeSource time) {
        this.segments = Objects.requireNonNull(segments, "segments");
        this.news = Objects.requireNonNull(news, "news");
        this.records = Objects.requireNonNull(records, "records");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** A granted trial, which one call at a time makes. */
    private static final class Grant {
        private final SegmentId segment;
        private final Set<SegmentId> scope;
        private final int number;
        private final long untilMillis;
        private Optional<CallSuspicion> holder = Optional.empty();
        private boolean sent;

        Grant(SegmentId segment, Set<SegmentId> scope, int number, long untilMillis) {
            this.segment = segment;
            this.scope = Set.copyOf(scope);
            this.number = number;
            this.untilMillis = untilMillis;
        }
    }

    /** Returns whether a call makes a trial and may therefore be written to a target. */
    boolean isTrying(CallSuspicion call) {
        return grantOf(call).isPresent();
    }

    /**
     * Claims a trial for a call, unless this instance has claimed it a moment ago.
     *
     * @param call the call that would make the trial, not null
     * @param due the trial, not null
     * @param onDecided receives once whether the call makes it, unless the call has ended before, not null
     */
    void claim(CallSuspicion call, SegmentStanding.TrialDue due, Consumer<Boolean> onDecided) {
        Optional<HeldSegment> known = segments.findHeld(due.segment());
        if (known.isEmpty() || !mayClaim(due.segment())) {
            onDecided.accept(false);
            return;
        }
        claimAllowedAtMillis.put(due.segment(), Long.MAX_VALUE);
        Set<SegmentId> scope = segments.heldAmong(call.segments());
        PendingCall waiting = new PendingCall(call, onDecided);
        waiting.timer = time.schedule(CLAIM_WAIT_MILLIS, () -> waiting.decide(false));
        records.claimTrial(known.get(), due.trialNumber(), granted -> {
            claimAllowedAtMillis.put(due.segment(), time.monotonicMillis() + CLAIM_RETRY_MILLIS);
            logClaim(call, due, granted);
            if (granted) {
                begin(due, scope, waiting);
            } else {
                waiting.decide(false);
            }
        });
    }

    private boolean mayClaim(SegmentId segment) {
        long nowMillis = time.monotonicMillis();
        claimAllowedAtMillis.values().removeIf(atMillis -> atMillis <= nowMillis);
        return !claimAllowedAtMillis.containsKey(segment);
    }

    private void logClaim(CallSuspicion call, SegmentStanding.TrialDue due, boolean granted) {
        metrics.segmentTrial(granted ? "granted" : "not_granted");
        LogEvent.of("segment_trial_claimed")
                .with("segment", due.segment())
                .with("trial", due.trialNumber())
                .with("request", call.requestId())
                .with("granted", granted)
                .info(log);
    }

    /** Begins a granted trial. If its call has not waited so long, the trial is left for the next one. */
    private void begin(SegmentStanding.TrialDue due, Set<SegmentId> scope, PendingCall waiting) {
        long nowMillis = time.monotonicMillis();
        Grant grant = new Grant(due.segment(), scope, due.trialNumber(), nowMillis + GRANT_MILLIS);
        grants.put(due.segment(), grant);
        segments.recordTrial(due.segment(), due.trialNumber(), nowMillis);
        news.tellTrial(due.segment(), due.trialNumber());
        if (!waiting.decided && !waiting.call.isClosed()) {
            grant.holder = Optional.of(waiting.call);
            waiting.decide(true);
        }
    }

    /** A call that waits for a trial. */
    private static final class PendingCall {
        private final CallSuspicion call;
        private final Consumer<Boolean> onDecided;
        private boolean decided;
        private Cancellable timer;

        PendingCall(CallSuspicion call, Consumer<Boolean> onDecided) {
            this.call = call;
            this.onDecided = onDecided;
        }

        void decide(boolean granted) {
            if (decided) {
                return;
            }
            decided = true;
            timer.cancel();
            if (!call.isClosed()) {
                onDecided.accept(granted);
            }
        }
    }

    /**
     * Gives a call a trial that was granted and is not being made.
     *
     * @param call the call, not null
     * @return whether there is one, which covers all segments of the call that are held back
     */
    boolean takeUnused(CallSuspicion call) {
        if (grants.isEmpty()) {
            return false;
        }
        long nowMillis = time.monotonicMillis();
        grants.values().removeIf(grant -> grant.holder.isEmpty() && grant.untilMillis <= nowMillis);
        Set<SegmentId> heldByCall = segments.heldAmong(call.segments());
        Optional<Grant> unused = grants.values().stream()
                .filter(grant -> grant.holder.isEmpty() && grant.scope.containsAll(heldByCall))
                .findFirst();
        unused.ifPresent(grant -> grant.holder = Optional.of(call));
        return unused.isPresent();
    }

    private Optional<Grant> grantOf(CallSuspicion call) {
        if (grants.isEmpty()) {
            return Optional.empty();
        }
        return grants.values().stream()
                .filter(grant -> grant.holder.filter(call::equals).isPresent())
                .findFirst();
    }

    /** Records that a call is written to a target. */
    void recordSent(CallSuspicion call) {
        grantOf(call).ifPresent(grant -> {
            grant.sent = true;
            LogEvent.of("segment_tried")
                    .with("segment", grant.segment)
                    .with("trial", grant.number)
                    .with("request", call.requestId())
                    .info(log);
        });
    }

    /** Records that a call did not run at the target to which it was written. */
    void recordNotRun(CallSuspicion call) {
        grantOf(call).ifPresent(grant -> grant.sent = false);
    }

    /** Records the end of a call. A trial that reached no target is left for another call. */
    void recordClosed(CallSuspicion call) {
        grantOf(call).ifPresent(grant -> {
            if (grant.sent) {
                end(call, "ended");
            } else {
                grant.holder = Optional.empty();
            }
        });
    }

    /** Ends the trial that a call makes, if it makes one. */
    void end(CallSuspicion call, String outcome) {
        grantOf(call).ifPresent(grant -> {
            grants.remove(grant.segment);
            metrics.segmentTrial(outcome);
        });
    }

    /** Removes the trial of a segment that is no longer held back. */
    void release(SegmentId segment) {
        grants.remove(segment);
    }
}
