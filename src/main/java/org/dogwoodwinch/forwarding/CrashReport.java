package org.dogwoodwinch.forwarding;

import java.util.List;
import java.util.Objects;

/**
 * The crash of one start of a target, and the prompt segments that may have caused it.
 *
 * @param targetStart names the start of the target that crashed, not null
 * @param blamed the shared segments of the calls whose answers had not begun, not null
 */
public record CrashReport(String targetStart, List<BlamedSegment> blamed) {

    /** Checks that no component is null, and copies the list. */
    public CrashReport {
        Objects.requireNonNull(targetStart, "targetStart");
        blamed = List.copyOf(blamed);
    }

    /**
     * A segment of a call that was lost with its target before its answer began.
     *
     * @param segment the segment, not null
     * @param hasBegun whether the reporting instance knows of an answer that has begun with this segment lately
     */
    public record BlamedSegment(SegmentId segment, boolean hasBegun) {

        /** Checks that the segment is not null. */
        public BlamedSegment {
            Objects.requireNonNull(segment, "segment");
        }
    }
}
