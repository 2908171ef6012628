package org.dogwoodwinch.forwarding;

/** Whether a call may be sent, as far as the segments of its prompt are suspected of crashing targets. */
public sealed interface SegmentStanding {

    /** No segment is held back. */
    record Clear() implements SegmentStanding {}

    /**
     * A segment is held back, so the call is refused.
     *
     * @param segment the segment that is held back longest, not null
     * @param crashesCount the crashes under it since an answer with it has begun
     * @param remainingMillis the time until a call with it may be tried
     */
    record HeldBack(SegmentId segment, int crashesCount, long remainingMillis) implements SegmentStanding {}

    /**
     * A segment is held back, and one call of the whole fleet may be sent to find out whether it still crashes targets.
     *
     * @param segment the segment to be tried, not null
     * @param crashesCount the crashes under it since an answer with it has begun
     * @param trialNumber the number of the trial, from 1
     */
    record TrialDue(SegmentId segment, int crashesCount, int trialNumber) implements SegmentStanding {}
}
