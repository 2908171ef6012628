package org.dogwoodwinch.relay;

import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.SegmentId;

/**
 * The segments that are held back, as the platform's store keeps them for instances that start later, and the trials that
 * instances have claimed there. Of several instances that claim one trial, one gets it.
 */
public interface SegmentRecords {

    /** Keeps nothing, and grants each trial. */
    SegmentRecords NONE = new SegmentRecords() {
        @Override
        public void keep(HeldSegment _held) {}

        @Override
        public void forget(SegmentId _segment) {}

        @Override
        public void claimTrial(HeldSegment _held, int _trialNumber, Consumer<Boolean> onDecided) {
            onDecided.accept(true);
        }
    };

    /**
     * Keeps a segment that is held back. Repeated until the store confirms it or the segment is forgotten.
     *
     * @param held the segment, not null
     */
    void keep(HeldSegment held);

    /**
     * Removes a segment that is no longer held back.
     *
     * @param segment the segment, not null
     */
    void forget(SegmentId segment);

    /**
     * Claims a trial for this instance.
     *
     * @param held the segment as this instance knows it, not null
     * @param trialNumber the number of the trial, from 1
     * @param onDecided receives once whether the trial is granted; it is not while the store is unavailable, not null
     */
    void claimTrial(HeldSegment held, int trialNumber, Consumer<Boolean> onDecided);
}
