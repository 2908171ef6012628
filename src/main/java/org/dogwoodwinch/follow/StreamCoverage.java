package org.dogwoodwinch.follow;

/**
 * Tracks up to which moment the records that were delivered to a follower are known to be complete: whatever was
 * acknowledged before it has been delivered. Times are monotonic milliseconds of this process. Not thread-safe.
 */
public final class StreamCoverage {

    /** The time of what is not known, before every other time; far enough from the limits of the type to be subtracted from. */
    public static final long UNKNOWN_MILLIS = Long.MIN_VALUE / 2;

    private long coveredMillis = UNKNOWN_MILLIS;
    private long deliveredEndOffset = -1;
    private long knownEndOffset = -1;
    private long knownAsOfMillis = UNKNOWN_MILLIS;

    /**
     * Records where the stream ended at a moment.
     *
     * @param endOffset the end offset of the stream at that moment
     * @param asOfMillis the moment; an earlier one than the true one is safe, a later one is not
     */
    void recordEnd(long endOffset, long asOfMillis) {
        if (endOffset <= deliveredEndOffset) {
            coveredMillis = Math.max(coveredMillis, asOfMillis);
        } else if (asOfMillis >= knownAsOfMillis) {
            knownEndOffset = endOffset;
            knownAsOfMillis = asOfMillis;
        }
    }

    /**
     * Records that everything before an offset was delivered.
     *
     * @param endOffset the offset after the last delivered record
     */
    void recordDelivered(long endOffset) {
        deliveredEndOffset = endOffset;
        if (knownEndOffset >= 0 && knownEndOffset <= endOffset) {
            coveredMillis = Math.max(coveredMillis, knownAsOfMillis);
            knownEndOffset = -1;
            knownAsOfMillis = UNKNOWN_MILLIS;
        }
    }

    /** Returns the moment before which every acknowledged record has been delivered; {@link #UNKNOWN_MILLIS} if none. */
    long coveredMillis() {
        return coveredMillis;
    }
}
