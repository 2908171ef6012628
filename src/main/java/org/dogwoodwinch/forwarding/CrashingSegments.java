package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.dogwoodwinch.forwarding.CrashCorrelator.LostCall;
import org.dogwoodwinch.forwarding.CrashReport.BlamedSegment;

/**
 * Finds the prompt segments that crash targets, and decides which calls are held back for it. Not thread-safe.
 *
 * <p>Load: calls that are otherwise never alike share one segment, and each target that begins to write an answer to one
 * of them crashes. What counts is therefore the segment and not the call. A crash is blamed on the shared segments of
 * all calls that were lost with the target before their answers began, and each later begin of an answer with a segment
 * clears it. Sound segments are in flight during a crash as well, but answers with them go on beginning.
 *
 * <p>Crashes are a set of target starts: an instance merges what all others report, in any order and any number of times.
 * Begins and crashes are compared by their times, so neither is undone by an older report that arrives later.
 *
 * <p>A segment that is held back is tried again by one call of the whole fleet, after growing pauses and only a few
 * times, since each trial may cost a target.
 */
public final class CrashingSegments {

    /**
     * The pause before a call may try several segments at once. A call with only one of them shows more: if it crashes a
     * target, the others are not blamed for it.
     */
    private static final long JOINT_TRIAL_PAUSE_MILLIS = 30_000;

    /** The time after which all instances and the store's record know of a lift. */
    private static final long LIFT_KNOWN_MILLIS = 5_000;

    private final LongSupplier clockMillis;
    private final SegmentBegins begins = new SegmentBegins();
    private final BlamedSegments blamed = new BlamedSegments();
    private final Map<SegmentId, Long> liftedAtMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<SegmentId, Long> _eldest) {
            return size() > BlamedSegments.MAX_SEGMENTS;
        }
    };

    /**
     * Creates an instance that suspects nothing.
     *
     * @param clockMillis monotonic milliseconds, not null
     */
    public CrashingSegments(LongSupplier clockMillis) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
    }

    /**
     * Returns whether a call may be sent.
     *
     * @param segments the shared segments of its prompt, not null
     * @return its standing now
     */
    public SegmentStanding standingOf(Collection<SegmentId> segments) {
        if (blamed.isEmpty() || segments.isEmpty()) {
            return new SegmentStanding.Clear();
        }
        long nowMillis = clockMillis.getAsLong();
        List<SegmentId> held = segments.stream()
                .distinct()
                .filter(segment -> blamed.isHeld(segment, nowMillis))
                .sorted()
                .toList();
        if (held.isEmpty()) {
            return new SegmentStanding.Clear();
        }
        long minPauseMillis = held.size() > 1 ? JOINT_TRIAL_PAUSE_MILLIS : 0;
        SegmentId latest = held.get(0);
        long latestDueMillis = SegmentEvidence.NEVER_MILLIS;
        for (SegmentId segment : held) {
            long dueMillis = evidenceOf(segment).trialDueMillis(minPauseMillis);
            if (dueMillis > latestDueMillis) {
                latestDueMillis = dueMillis;
                latest = segment;
            }
        }
        SegmentEvidence evidence = evidenceOf(latest);
        return latestDueMillis > nowMillis
                ? new SegmentStanding.HeldBack(latest, evidence.unclearedCount(), latestDueMillis - nowMillis)
                : new SegmentStanding.TrialDue(latest, evidence.unclearedCount(), evidence.trialsCount() + 1);
    }

    /**
     * Returns whether a segment is held back.
     *
     * @param segment the segment, not null
     * @return whether calls with it are refused, except for trials
     */
    public boolean isHeldBack(SegmentId segment) {
        return blamed.isHeld(segment, clockMillis.getAsLong());
    }

    /**
     * Returns the segments that are held back.
     *
     * @param segments some segments, not null
     * @return those among them that are held back
     */
    public Set<SegmentId> heldAmong(Collection<SegmentId> segments) {
        Set<SegmentId> held = new HashSet<>();
        segments.stream().filter(this::isHeldBack).forEach(held::add);
        return held;
    }

    /**
     * Returns whether a call may be what crashed a target: a segment of its prompt was in flight during a crash, and no
     * answer with that segment is known to have begun. Such a call is not sent again after it is lost.
     *
     * @param segments the shared segments of its prompt, not null
     * @return whether one of them is suspected
     */
    public boolean isSuspected(Collection<SegmentId> segments) {
        return !blamed.isEmpty()
                && segments.stream()
                        .flatMap(segment -> blamed.find(segment).stream())
                        .anyMatch(evidence -> !evidence.hasBegun() && evidence.unclearedCount() > 0);
    }

    /**
     * Records that the answer to a call of this instance begins now: its first event has arrived, or all of it.
     *
     * @param segments the shared segments of its prompt, not null
     * @return the segments that the other instances should be told of at once, or after a pause, because they may be
     *     about to hold them back
     */
    public List<BegunSegment> recordBegin(Collection<SegmentId> segments) {
        long nowMillis = clockMillis.getAsLong();
        List<BegunSegment> toTell = List.of();
        for (SegmentId segment : segments) {
            begins.record(segment, nowMillis);
            Optional<SegmentEvidence> evidence = blamed.find(segment);
            if (evidence.isPresent()) {
                boolean wasHeld = evidence.get().isHeldAt(nowMillis);
                boolean othersMayHold = evidence.get().untoldCrashesCount() > 1;
                evidence.get().recordBegin(nowMillis);
                if (wasHeld || othersMayHold) {
                    toTell = new ArrayList<>(toTell);
                    toTell.add(new BegunSegment(
                            segment, wasHeld, wasHeld || evidence.get().isBlamedHere()));
                }
            }
        }
        return toTell;
    }

    /**
     * A segment that an answer has begun with although targets crashed under it.
     *
     * @param segment the segment, not null
     * @param released whether it was held back until now
     * @param isUrgent whether to tell the others at once: this instance held it back, or has blamed it for a crash
     */
    public record BegunSegment(SegmentId segment, boolean released, boolean isUrgent) {}

    /**
     * Returns whether answers with a segment are known to have begun.
     *
     * @param segment the segment, not null
     * @return whether one has, here or at an instance that told of it, within the time that begins are remembered
     */
    public boolean hasBegun(SegmentId segment) {
        return blamed.find(segment).map(SegmentEvidence::hasBegun).orElseGet(() -> hasRecentBegin(segment));
    }

    private boolean hasRecentBegin(SegmentId segment) {
        return clockMillis.getAsLong() - begins.lastMillis(segment) < SegmentEvidence.MEMORY_MILLIS;
    }

    /**
     * Returns when an answer with a segment last began, as far as this instance knows.
     *
     * @param segment the segment, not null
     * @return the age in milliseconds; empty if no begin is known here
     */
    public OptionalLong beginAgeMillis(SegmentId segment) {
        long begunMillis = beginOf(segment);
        return begunMillis == SegmentEvidence.NEVER_MILLIS
                ? OptionalLong.empty()
                : OptionalLong.of(clockMillis.getAsLong() - begunMillis);
    }

    /**
     * Returns whether the other instances have not been told of a begin after the last crash.
     *
     * @param segment the segment, not null
     * @return whether a begin is known here and they may count crashes before it
     */
    public boolean isBeginUntold(SegmentId segment) {
        return blamed.find(segment)
                .filter(evidence -> evidence.hasBegun() && evidence.untoldCrashesCount() > 0)
                .isPresent();
    }

    /**
     * Returns whether this instance knows that answers with a blamed segment have begun, and the others do not. They
     * would hold it back together with the segment that is the cause.
     *
     * @param segment the segment, not null
     * @return whether they should be told
     */
    public boolean isBeginUnknownToOthers(SegmentId segment) {
        return blamed.find(segment)
                .filter(SegmentEvidence::isBeginKnownHereOnly)
                .isPresent();
    }

    /**
     * Records that the other instances are told of the last begin of an answer with a segment.
     *
     * @param segment the segment, not null
     */
    public void recordTold(SegmentId segment) {
        blamed.find(segment).ifPresent(SegmentEvidence::recordTold);
    }

    /**
     * Records that another instance told of the begin of an answer.
     *
     * @param segment the segment, not null
     * @param begunMillis when it began, in monotonic milliseconds of this instance
     * @return whether this ends that the segment is held back
     */
    public boolean recordPeerBegin(SegmentId segment, long begunMillis) {
        begins.recordAtPeer(segment, begunMillis);
        Optional<SegmentEvidence> evidence = blamed.find(segment);
        if (evidence.isEmpty()) {
            return false;
        }
        boolean wasHeld = isHeldBack(segment);
        evidence.get().recordPeerBegin(begunMillis);
        return wasHeld && !isHeldBack(segment);
    }

    /**
     * Records that a target crashed under calls of this instance. If one of them has a segment that is held back, which
     * was being tried, that explains the crash, and segments that answers began with before are not blamed.
     *
     * @param targetStart names the start of the target, not null
     * @param lostCalls the calls that were lost with it, not null
     * @return what to tell the other instances; empty if no segment can be blamed
     */
    public Optional<CrashReport> recordCrash(String targetStart, List<LostCall> lostCalls) {
        List<LostCall> unbegun =
                lostCalls.stream().filter(call -> !call.answerBegun()).toList();
        Set<SegmentId> held = new HashSet<>();
        Map<SegmentId, Long> lostMillisBySegment = new LinkedHashMap<>();
        for (LostCall call : unbegun) {
            held.addAll(heldAmong(call.segments()));
            call.segments().forEach(segment -> lostMillisBySegment.merge(segment, call.lostAtMillis(), Math::min));
        }
        if (!held.isEmpty()) {
            lostMillisBySegment.keySet().removeIf(segment -> !held.contains(segment) && hasBegun(segment));
        }
        lostMillisBySegment
                .entrySet()
                .removeIf(entry -> beginOf(entry.getKey()) >= entry.getValue()
                        || liftedMillis(entry.getKey()) >= entry.getValue());
        if (lostMillisBySegment.isEmpty()) {
            return Optional.empty();
        }
        List<BlamedSegment> blamedSegments = new ArrayList<>();
        lostMillisBySegment.forEach((segment, lostMillis) -> {
            SegmentEvidence evidence = findOrAdd(segment);
            evidence.recordCrash(targetStart, lostMillis);
            evidence.recordBlamedHere();
            blamedSegments.add(new BlamedSegment(segment, evidence.hasBegun()));
        });
        return Optional.of(new CrashReport(targetStart, blamedSegments));
    }

    /**
     * Records a crash that another instance reported.
     *
     * @param report the report, not null
     * @param crashMillis when the target crashed, in monotonic milliseconds of this instance
     */
    public void recordPeerCrash(CrashReport report, long crashMillis) {
        for (BlamedSegment each : report.blamed()) {
            if (crashMillis > liftedMillis(each.segment())) {
                SegmentEvidence evidence = findOrAdd(each.segment());
                evidence.recordCrash(report.targetStart(), crashMillis);
                evidence.recordBegunAtPeer(each.hasBegun());
            }
        }
    }

    /**
     * Records that a call of the fleet tries a segment.
     *
     * @param segment the segment, not null
     * @param trialNumber the number of the trial, from 1; one that is not newer than the last known changes nothing
     * @param atMillis when it was granted, in monotonic milliseconds of this instance
     */
    public void recordTrial(SegmentId segment, int trialNumber, long atMillis) {
        blamed.find(segment).ifPresent(evidence -> evidence.recordTrial(trialNumber, atMillis));
    }

    /**
     * Adds a segment that was held back before this process started, or by instances that this one has not heard.
     *
     * @param held the segment as it was recorded, not null; its remaining time is not used
     */
    public void restore(HeldSegment held) {
        long nowMillis = clockMillis.getAsLong();
        long crashMillis = nowMillis - held.lastCrashAgeMillis();
        long liftedMillis = liftedMillis(held.segment());
        if (held.lastCrashAgeMillis() > SegmentEvidence.HELD_MEMORY_MILLIS
                || crashMillis <= liftedMillis
                || nowMillis - liftedMillis < LIFT_KNOWN_MILLIS
                || beginOf(held.segment()) >= crashMillis) {
            return;
        }
        SegmentEvidence evidence = findOrAdd(held.segment());
        for (int i = 0; i < held.crashesCount() && evidence.unclearedCount() < held.crashesCount(); i++) {
            evidence.recordCrash("recorded-" + i, crashMillis);
        }
        recordTrial(held.segment(), held.trialsCount(), nowMillis);
    }

    private long liftedMillis(SegmentId segment) {
        return liftedAtMillis.getOrDefault(segment, SegmentEvidence.NEVER_MILLIS);
    }

    /**
     * Forgets all crashes under a segment, because an operator says so.
     *
     * @param segment the segment, not null
     * @param atMillis when it was lifted, in monotonic milliseconds of this instance; earlier crashes that are reported
     *     later do not count
     * @return whether it was held back
     */
    public boolean lift(SegmentId segment, long atMillis) {
        boolean wasHeld = isHeldBack(segment);
        liftedAtMillis.merge(segment, atMillis, Math::max);
        blamed.remove(segment);
        return wasHeld;
    }

    /**
     * Lists the segments that are held back.
     *
     * @return the list, in the order in which they were first blamed
     */
    public List<HeldSegment> listHeld() {
        return blamed.listHeld(clockMillis.getAsLong());
    }

    /**
     * Describes a segment that is held back.
     *
     * @param segment the segment, not null
     * @return the description; empty if it is not held back
     */
    public Optional<HeldSegment> findHeld(SegmentId segment) {
        return blamed.findHeld(segment, clockMillis.getAsLong());
    }

    private long beginOf(SegmentId segment) {
        long blamedMillis =
                blamed.find(segment).map(SegmentEvidence::lastBeginMillis).orElse(SegmentEvidence.NEVER_MILLIS);
        return Math.max(begins.lastMillis(segment), blamedMillis);
    }

    private SegmentEvidence evidenceOf(SegmentId blamedSegment) {
        return blamed.find(blamedSegment).orElseThrow();
    }

    private SegmentEvidence findOrAdd(SegmentId segment) {
        return blamed.find(segment).orElseGet(() -> {
            long begunMillis = hasRecentBegin(segment) ? begins.lastMillis(segment) : SegmentEvidence.NEVER_MILLIS;
            return blamed.add(segment, begunMillis, clockMillis.getAsLong());
        });
    }
}
