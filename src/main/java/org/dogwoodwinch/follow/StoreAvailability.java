package org.dogwoodwinch.follow;

/**
 * Tracks when the store came back after it had been away for all instances, as far as this instance knows. Times are
 * monotonic milliseconds of this process. Not thread-safe.
 *
 * <p>Failure: the store refuses the calls of one instance and answers all others. Taken for an outage of the store, this
 * instance holds the removals of targets back that all others apply. The contacts of other instances therefore count like
 * its own.
 */
final class StoreAvailability {

    private final long maxContactGapMillis;
    private long lastContactMillis;
    private long returnedMillis = StreamCoverage.UNKNOWN_MILLIS;

    /**
     * Creates a tracker.
     *
     * @param maxContactGapMillis the longest time between two contacts of a sound store with any instance
     * @param startMillis when this instance began to listen for contacts
     */
    StoreAvailability(long maxContactGapMillis, long startMillis) {
        this.maxContactGapMillis = maxContactGapMillis;
        this.lastContactMillis = startMillis;
    }

    /**
     * Records that the store answered an instance.
     *
     * @param atMillis when; an earlier moment than the last one adds nothing
     */
    void recordContact(long atMillis) {
        if (atMillis - lastContactMillis > maxContactGapMillis) {
            returnedMillis = atMillis;
        }
        lastContactMillis = Math.max(lastContactMillis, atMillis);
    }

    /**
     * Records that the store answered an instance at an unknown moment. It may be the first one after an outage, but does
     * not show that the store is reached now.
     *
     * @param nowMillis when this became known
     */
    void recordContactOfUnknownAge(long nowMillis) {
        if (nowMillis - lastContactMillis > maxContactGapMillis) {
            returnedMillis = nowMillis;
        }
    }

    /**
     * Returns when the store last came back.
     *
     * @return the first contact after the last time without any; {@link StreamCoverage#UNKNOWN_MILLIS} if there was none
     */
    long returnedMillis() {
        return returnedMillis;
    }
}
