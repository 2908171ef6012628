package org.dogwoodwinch.relay;

import org.dogwoodwinch.forwarding.CrashReport;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.SegmentId;

/** Tells the other instances what this one finds out about prompt segments that crash targets. */
public interface SegmentNews {

    /** Tells nobody. */
    SegmentNews NONE = new SegmentNews() {
        @Override
        public void tellCrash(CrashReport _report, long _ageMillis) {}

        @Override
        public void tellBegin(SegmentId _segment, long _ageMillis) {}

        @Override
        public void tellTrial(SegmentId _segment, int _trialNumber) {}

        @Override
        public void tellHeld(HeldSegment _held) {}

        @Override
        public void tellLift(SegmentId _segment) {}
    };

    /**
     * Tells of the crash of a target.
     *
     * @param report the start of the target and the segments that may have caused it, not null
     * @param ageMillis the time since calls were lost with the target
     */
    void tellCrash(CrashReport report, long ageMillis);

    /**
     * Tells that an answer to a call with a segment has begun.
     *
     * @param segment the segment, not null
     * @param ageMillis the time since then
     */
    void tellBegin(SegmentId segment, long ageMillis);

    /**
     * Tells that this instance was granted a trial of a segment.
     *
     * @param segment the segment, not null
     * @param trialNumber the number of the trial, from 1
     */
    void tellTrial(SegmentId segment, int trialNumber);

    /**
     * Tells that a segment is held back, for instances that have not heard of its crashes.
     *
     * @param held the segment, not null
     */
    void tellHeld(HeldSegment held);

    /**
     * Tells that an operator lifted a segment.
     *
     * @param segment the segment, not null
     */
    void tellLift(SegmentId segment);
}
