package org.dogwoodwinch.follow;

/**
 * The time limits for relying on updates of another reader instead of reading from the platform.
 *
 * @param maxAgeMillis the maximum age of the reader's last contact with the platform up to which its updates replace
 *     reads of this instance; the sum of this bound, the staggered delay and one read has to stay below every limit
 *     that counts from an acknowledgement
 * @param takeoverStaggerMillis the additional takeover delay for each further position in the succession order
 * @param maxStaggers the maximum number of such delays, regardless of the number of instances
 * @param longPollMillis the long-poll time-out of a reader
 * @param readPauseMillis the pause between two reads of a reader, and the shortest time between two updates by which it
 *     forwards records of another data centre
 * @param secondReadAfterMillis after which time without an answer, beside the long-poll time-out, a read is sent again
 */
public record ReplicaPolicy(
        long maxAgeMillis,
        long takeoverStaggerMillis,
        int maxStaggers,
        long longPollMillis,
        long readPauseMillis,
        long secondReadAfterMillis) {

    /**
     * Returns how long an instance waits before it takes over reading, in addition to the maximum age of updates.
     *
     * @param rank its position in the succession order, zero is the first
     * @return the delay in milliseconds
     */
    public long takeoverDelayMillis(int rank) {
        return takeoverStaggerMillis * Math.min(Math.max(0, rank - 1), maxStaggers);
    }
}
