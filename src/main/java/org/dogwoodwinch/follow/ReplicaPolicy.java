package org.dogwoodwinch.follow;

/**
 * The times of being told instead of reading.
 *
 * @param freshMillis how old the relay's last answer of the platform may be while its word still stands for a reading of
 *     one's own; with the stagger and one reading it has to stay under every bound that counts from an acknowledgement
 * @param staggerMillis how much longer each further instance in the order of succession waits
 * @param mostStaggers the most such waits, however many instances there are
 */
public record ReplicaPolicy(long freshMillis, long staggerMillis, int mostStaggers) {

    /**
     * Returns how long an instance waits beyond the time for which a word stands.
     *
     * @param rank its place in the order of succession, zero is the first
     * @return milliseconds
     */
    public long takeoverDelayMillis(int rank) {
        return staggerMillis * Math.min(Math.max(0, rank - 1), mostStaggers);
    }
}
