package org.dogwoodwinch.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.dogwoodwinch.forwarding.CrashCorrelator.LostCall;
import org.dogwoodwinch.forwarding.CrashReport;
import org.dogwoodwinch.forwarding.CrashReport.BlamedSegment;
import org.dogwoodwinch.forwarding.CrashingSegments;
import org.dogwoodwinch.forwarding.CrashingSegments.BegunSegment;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.RendezvousHash;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.forwarding.SegmentStanding;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds back calls whose prompts have a segment that crashes targets, tries such a segment by one call of the fleet at a
 * time, and keeps the other instances and the platform's store informed. Confined to one event loop.
 *
 * <p>The decisions are those of {@link CrashingSegments}; this class applies them to the calls of this instance.
 */
public final class SegmentGuard {

    private static final Logger log = LoggerFactory.getLogger(SegmentGuard.class);

    /**
     * The time over which the instances of a fleet spread what they all may tell, for each instance: the first ones are
     * heard by the others, which then need not tell it.
     */
    private static final long SPREAD_PER_INSTANCE_MILLIS = 10;

    /**
     * The time after which what is held back is told again. An instance that was cut off from the others hears of it well
     * before its calls are expected to be handled like theirs.
     */
    private static final long REPEAT_MILLIS = 1_500;

    private final CrashingSegments segments;
    private final SegmentNews news;
    private final SegmentRecords records;
    private final String ownName;
    private final IntSupplier instancesCount;
    private final ForwardingMetrics metrics;
    private final TimeSource time;
    /** The segments that are held back, and when the fleet was last told so. */
    private final Map<SegmentId, Long> lastToldMillisByHeldSegment = new HashMap<>();

    private final Set<SegmentId> keptHere = new HashSet<>();
    private final Set<SegmentId> begunToTell = new HashSet<>();
    private final SegmentTrials trials;

    /**
     * Creates a guard.
     *
     * @param segments decides which segments are held back, not null
     * @param news tells the other instances, not null
     * @param records keeps what must outlast this process, not null
     * @param ownName the name of this instance, not null
     * @param instancesCount supplies the number of instances, evaluated on each use, not null
     * @param metrics counts crashes, trials and segments, not null
     * @param time clock and timers of the event loop, not null
     */
    public SegmentGuard(
            CrashingSegments segments,
            SegmentNews news,
            SegmentRecords records,
            String ownName,
            IntSupplier instancesCount,
            ForwardingMetrics metrics,
            TimeSource time) {
        this.segments = Objects.requireNonNull(segments, "segments");
        this.news = Objects.requireNonNull(news, "news");
        this.records = Objects.requireNonNull(records, "records");
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.instancesCount = Objects.requireNonNull(instancesCount, "instancesCount");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.time = Objects.requireNonNull(time, "time");
        this.trials = new SegmentTrials(segments, news, records, metrics, time);
    }

    /** Returns the trials that this instance was granted, and the calls that make them. */
    SegmentTrials trials() {
        return trials;
    }

    /** Why a call is refused, and when its caller may come back. */
    record Refusal(SegmentId segment, int crashesCount, long retryAfterMillis) {}

    /**
     * Decides whether a call that has arrived may be sent. One that could try a segment waits for a moment until the
     * store has granted the trial.
     *
     * @param call the call, not null
     * @param onDecided receives the refusal, or empty if the call may be sent; run once, possibly before this method
     *     returns, not null
     */
    void admit(CallSuspicion call, Consumer<Optional<Refusal>> onDecided) {
        Optional<Refusal> refusal = refusalOf(call);
        if (refusal.isEmpty() || trials.takeUnused(call)) {
            onDecided.accept(Optional.empty());
        } else if (segments.standingOf(call.segments()) instanceof SegmentStanding.TrialDue due) {
            trials.claim(call, due, granted -> onDecided.accept(granted ? Optional.empty() : refusal));
        } else {
            onDecided.accept(refusal);
        }
    }

    /** Returns why a call may not be written to a target now; empty if it may. */
    Optional<Refusal> refusalOf(CallSuspicion call) {
        if (trials.isTrying(call)) {
            return Optional.empty();
        }
        SegmentStanding standing = segments.standingOf(call.segments());
        if (standing instanceof SegmentStanding.HeldBack back) {
            return Optional.of(new Refusal(back.segment(), back.crashesCount(), back.remainingMillis()));
        }
        return standing instanceof SegmentStanding.TrialDue due
                ? Optional.of(new Refusal(due.segment(), due.crashesCount(), SegmentTrials.CLAIM_RETRY_MILLIS))
                : Optional.empty();
    }

    /** Returns whether a call that was lost may have crashed its target. */
    boolean isSuspected(CallSuspicion call) {
        return segments.isSuspected(call.segments());
    }

    /** Records that the answer to a call begins: its first event has arrived, or all of it. */
    void recordBegin(CallSuspicion call) {
        trials.end(call, "begun");
        for (BegunSegment begun : segments.recordBegin(call.segments())) {
            if (begun.released()) {
                release(begun.segment(), "begun", call.requestId());
            }
            if (begun.isUrgent()) {
                tellBegin(begun.segment(), 0);
            } else {
                tellBeginLater(begun.segment(), segments::isBeginUntold);
            }
        }
    }

    private void tellBeginLater(SegmentId segment, Predicate<SegmentId> isStillNews) {
        if (begunToTell.add(segment)) {
            time.schedule(spreadMillis(segment), () -> {
                // Another instance may have told a begin meanwhile.
                if (begunToTell.remove(segment) && isStillNews.test(segment)) {
                    segments.beginAgeMillis(segment).ifPresent(ageMillis -> tellBegin(segment, ageMillis));
                }
            });
        }
    }

    private long spreadMillis(SegmentId segment) {
        long spanMillis = SPREAD_PER_INSTANCE_MILLIS * Math.max(1, instancesCount.getAsInt());
        return (long) (RendezvousHash.score(segment.toString(), ownName) * spanMillis);
    }

    private void tellBegin(SegmentId segment, long ageMillis) {
        news.tellBegin(segment, ageMillis);
        segments.recordTold(segment);
    }

    /** Records that a target crashed under calls of this instance, all at one start of it. */
    void recordCrash(String targetStart, List<LostCall> lostCalls) {
        Optional<CrashReport> report = segments.recordCrash(targetStart, lostCalls);
        if (report.isEmpty()) {
            return;
        }
        long lostMillis =
                lostCalls.stream().mapToLong(LostCall::lostAtMillis).min().orElse(time.monotonicMillis());
        long ageMillis = time.monotonicMillis() - lostMillis;
        logBlame(report.get(), "", ageMillis);
        metrics.segmentsBlamed("own");
        news.tellCrash(report.get(), ageMillis);
        noteHeldOf(report.get(), "", true);
    }

    /**
     * Records the crash of a target that another instance reported.
     *
     * @param report the report, not null
     * @param ageMillis the time since the crash
     * @param peer the name of the other instance, not null
     */
    public void onPeerCrash(CrashReport report, long ageMillis, String peer) {
        logBlame(report, peer, ageMillis);
        metrics.segmentsBlamed("peer");
        segments.recordPeerCrash(report, time.monotonicMillis() - ageMillis);
        noteHeldOf(report, peer, false);
        report.blamed().stream()
                .map(BlamedSegment::segment)
                .filter(segments::isBeginUnknownToOthers)
                .forEach(segment -> tellBeginLater(segment, segments::isBeginUnknownToOthers));
    }

    private static void logBlame(CrashReport report, String peer, long ageMillis) {
        LogEvent.of("segments_blamed")
                .with("target", report.targetStart())
                .with("blamed", namesOf(report, false))
                .with("begunBefore", namesOf(report, true))
                .with("ageMillis", ageMillis)
                .with("peer", peer)
                .info(log);
    }

    private static List<SegmentId> namesOf(CrashReport report, boolean hasBegun) {
        return report.blamed().stream()
                .filter(each -> each.hasBegun() == hasBegun)
                .map(BlamedSegment::segment)
                .toList();
    }

    private void noteHeldOf(CrashReport report, String peer, boolean isOwn) {
        for (BlamedSegment each : report.blamed()) {
            segments.findHeld(each.segment()).ifPresent(found -> {
                if (noteHeld(found.segment())) {
                    logHeld(found, peer);
                }
                if (isOwn) {
                    keep(found);
                }
            });
        }
        metrics.setHeldSegments(lastToldMillisByHeldSegment.size());
    }

    /** Keeps a segment in the store, unless this instance has seen to that. */
    private void keep(HeldSegment found) {
        if (keptHere.add(found.segment())) {
            records.keep(found);
        }
    }

    /** Returns whether it was not known that a segment is held back. */
    private boolean noteHeld(SegmentId segment) {
        return lastToldMillisByHeldSegment.putIfAbsent(segment, time.monotonicMillis()) == null;
    }

    /**
     * Tells again what is held back, and sees to its record, unless another instance has told it lately. Called in short
     * intervals.
     *
     * <p>Failure: an instance is cut off from the others while they tell of crashes, each once. It goes on sending calls
     * that crash targets after the cut has ended.
     */
    public void repeatHeld() {
        long nowMillis = time.monotonicMillis();
        for (Map.Entry<SegmentId, Long> each : List.copyOf(lastToldMillisByHeldSegment.entrySet())) {
            SegmentId segment = each.getKey();
            Optional<HeldSegment> found = segments.findHeld(segment);
            if (found.isEmpty()) {
                followRelease(segment, "forgotten", "");
            } else if (nowMillis - each.getValue() >= REPEAT_MILLIS + spreadMillis(segment)) {
                lastToldMillisByHeldSegment.put(segment, nowMillis);
                news.tellHeld(found.get());
                keep(found.get());
            }
        }
    }

    /**
     * Records that another instance holds a segment back. If this one knows that an answer with it has begun, it tells
     * that instead.
     *
     * @param told the segment as the other instance knows it, not null
     * @param ageMillis the time since it told
     * @param peer the name of the other instance, not null
     */
    public void onPeerHeld(HeldSegment told, long ageMillis, String peer) {
        SegmentId segment = told.segment();
        boolean wasHeld = segments.isHeldBack(segment);
        segments.restore(told.agedBy(ageMillis));
        if (segments.isHeldBack(segment)) {
            lastToldMillisByHeldSegment.put(segment, time.monotonicMillis());
            if (!wasHeld) {
                segments.findHeld(segment).ifPresent(found -> logHeld(found, peer));
                metrics.setHeldSegments(lastToldMillisByHeldSegment.size());
            }
        } else if (segments.hasBegun(segment)) {
            tellBeginLater(segment, segments::hasBegun);
        }
    }

    private static void logHeld(HeldSegment found, String peer) {
        LogEvent.of("segment_held_back")
                .with("segment", found.segment())
                .with("crashes", found.crashesCount())
                .with("trials", found.trialsCount())
                .with("lastCrashMillis", found.lastCrashAgeMillis())
                .with("remainingMillis", found.remainingMillis())
                .with("peer", peer)
                .info(log);
    }

    /** Releases a segment here, and removes its record. */
    private void release(SegmentId segment, String reason, String cause) {
        noteReleased(segment, reason, cause);
        keptHere.remove(segment);
        records.forget(segment);
    }

    private void noteReleased(SegmentId segment, String reason, String cause) {
        LogEvent.of("segment_released")
                .with("segment", segment)
                .with("reason", reason)
                .with("cause", cause)
                .info(log);
        lastToldMillisByHeldSegment.remove(segment);
        trials.release(segment);
        metrics.setHeldSegments(lastToldMillisByHeldSegment.size());
    }

    /**
     * Records that another instance told of the begin of an answer.
     *
     * @param segment the segment, not null
     * @param ageMillis the time since the begin
     * @param peer the name of the other instance, not null
     */
    public void onPeerBegin(SegmentId segment, long ageMillis, String peer) {
        begunToTell.remove(segment);
        boolean released = segments.recordPeerBegin(segment, time.monotonicMillis() - ageMillis);
        if (released) {
            followRelease(segment, "begun", peer);
        }
    }

    /** Follows a release elsewhere. The instance that released the segment removes its record, and so does one that kept it. */
    private void followRelease(SegmentId segment, String reason, String peer) {
        if (keptHere.contains(segment)) {
            release(segment, reason, peer);
        } else {
            noteReleased(segment, reason, peer);
        }
    }

    /**
     * Records that another instance was granted a trial.
     *
     * @param segment the segment, not null
     * @param trialNumber the number of the trial, from 1
     * @param ageMillis the time since it was granted
     */
    public void onPeerTrial(SegmentId segment, int trialNumber, long ageMillis) {
        segments.recordTrial(segment, trialNumber, time.monotonicMillis() - ageMillis);
    }

    /**
     * Records that an operator lifted a segment at another instance.
     *
     * @param segment the segment, not null
     * @param ageMillis the time since then
     * @param peer the name of the other instance, not null
     */
    public void onPeerLift(SegmentId segment, long ageMillis, String peer) {
        if (segments.lift(segment, time.monotonicMillis() - ageMillis)) {
            followRelease(segment, "lifted", peer);
        }
    }

    /**
     * Adds a segment that the store keeps.
     *
     * @param record the segment, not null
     */
    public void onRecord(HeldSegment record) {
        segments.restore(record);
        segments.findHeld(record.segment())
                .filter(found -> noteHeld(found.segment()))
                .ifPresent(found -> {
                    logHeld(found, "store");
                    metrics.setHeldSegments(lastToldMillisByHeldSegment.size());
                });
    }

    /**
     * Lifts a segment for the whole fleet, because an operator says so.
     *
     * @param segment the segment, not null
     * @return whether it was held back here
     */
    public boolean lift(SegmentId segment) {
        boolean wasHeld = segments.lift(segment, time.monotonicMillis());
        news.tellLift(segment);
        release(segment, "lifted", "operator");
        return wasHeld;
    }

    /**
     * Lists the segments that are held back.
     *
     * @return the list, in the order in which they were first blamed
     */
    public List<HeldSegment> listHeld() {
        return segments.listHeld();
    }
}
