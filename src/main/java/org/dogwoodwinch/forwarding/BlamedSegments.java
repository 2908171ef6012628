package org.dogwoodwinch.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The prompt segments that were in flight during a crash, with the evidence about each of them. Outdated ones are removed
 * when another one is added. Times are monotonic milliseconds of this instance. Not thread-safe.
 */
final class BlamedSegments {

    /** More than calls under way on the targets that crash within {@link SegmentEvidence#MEMORY_MILLIS}. */
    static final int MAX_SEGMENTS = 4_096;

    private final Map<SegmentId, SegmentEvidence> evidenceBySegment = new LinkedHashMap<>();

    /** Returns whether no segment is blamed. */
    boolean isEmpty() {
        return evidenceBySegment.isEmpty();
    }

    /** Returns the evidence about a segment; empty if it is not blamed. */
    Optional<SegmentEvidence> find(SegmentId segment) {
        return Optional.ofNullable(evidenceBySegment.get(segment));
    }

    /** Returns whether calls with a segment are held back, except for trials. */
    boolean isHeld(SegmentId segment, long nowMillis) {
        SegmentEvidence evidence = evidenceBySegment.get(segment);
        return evidence != null && evidence.isHeldAt(nowMillis);
    }

    /** Returns the segments that are held back, in the order in which they were first blamed. */
    List<HeldSegment> listHeld(long nowMillis) {
        return evidenceBySegment.entrySet().stream()
                .filter(entry -> entry.getValue().isHeldAt(nowMillis))
                .map(entry -> describe(entry.getKey(), entry.getValue(), nowMillis))
                .toList();
    }

    /** Returns a segment if it is held back. */
    Optional<HeldSegment> findHeld(SegmentId segment, long nowMillis) {
        return find(segment)
                .filter(evidence -> evidence.isHeldAt(nowMillis))
                .map(evidence -> describe(segment, evidence, nowMillis));
    }

    private static HeldSegment describe(SegmentId segment, SegmentEvidence evidence, long nowMillis) {
        return new HeldSegment(
                segment,
                evidence.unclearedCount(),
                evidence.trialsCount(),
                nowMillis - evidence.lastCrashMillis(),
                Math.max(0, evidence.trialDueMillis(0) - nowMillis));
    }

    /**
     * Adds a segment that is not blamed yet.
     *
     * @param segment the segment, not null
     * @param lastBeginMillis when an answer with it last began; {@link SegmentEvidence#NEVER_MILLIS} if none is known
     * @param nowMillis monotonic milliseconds
     * @return its evidence, without crashes
     */
    SegmentEvidence add(SegmentId segment, long lastBeginMillis, long nowMillis) {
        removeOutdated(nowMillis);
        SegmentEvidence added = new SegmentEvidence(lastBeginMillis);
        evidenceBySegment.put(segment, added);
        return added;
    }

    private void removeOutdated(long nowMillis) {
        evidenceBySegment.values().removeIf(evidence -> evidence.isOutdated(nowMillis));
        if (evidenceBySegment.size() >= MAX_SEGMENTS) {
            SegmentId oldest = evidenceBySegment.entrySet().stream()
                    .filter(entry -> !entry.getValue().isHeld())
                    .map(Map.Entry::getKey)
                    .findFirst()
                    .orElseGet(() -> evidenceBySegment.keySet().iterator().next());
            evidenceBySegment.remove(oldest);
        }
    }

    /** Forgets all crashes under a segment. */
    void remove(SegmentId segment) {
        evidenceBySegment.remove(segment);
    }
}
