package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * A prompt segment that is held back because targets crashed under it.
 *
 * @param segment the segment, not null
 * @param crashesCount the crashes since an answer with it has begun
 * @param trialsCount the calls that were sent since it is held back, to find out whether it still crashes targets
 * @param lastCrashAgeMillis the time since the last crash
 * @param remainingMillis the time until a call with it may be tried
 */
public record HeldSegment(
        SegmentId segment, int crashesCount, int trialsCount, long lastCrashAgeMillis, long remainingMillis) {

    /** Checks that the segment is not null. */
    public HeldSegment {
        Objects.requireNonNull(segment, "segment");
    }

    /**
     * Returns the same some time later.
     *
     * @param millis the time that has passed since then
     * @return the segment with an older last crash; the remaining time stays as it was stated
     */
    public HeldSegment agedBy(long millis) {
        return new HeldSegment(segment, crashesCount, trialsCount, lastCrashAgeMillis + millis, remainingMillis);
    }
}
