package org.dogwoodwinch.request;

import java.util.List;

/** The segments of prompts that are held back, for operators. */
public interface SegmentQuarantine {

    /** Holds back nothing. */
    SegmentQuarantine NONE = new SegmentQuarantine() {
        @Override
        public List<QuarantinedSegment> list() {
            return List.of();
        }

        @Override
        public boolean lift(String _model, String _segment) {
            return false;
        }
    };

    /**
     * Lists the segments.
     *
     * @return the list, in the order in which they were first blamed for a crash
     */
    List<QuarantinedSegment> list();

    /**
     * Lets calls with a segment be sent again, on all instances.
     *
     * @param model the name of the model, not null
     * @param segment the segment's id, not null
     * @return whether it was held back here
     */
    boolean lift(String model, String segment);
}
