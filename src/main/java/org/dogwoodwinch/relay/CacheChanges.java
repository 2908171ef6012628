package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;

/**
 * Changes of the prompt segments in an engine's KV cache.
 *
 * @param epoch identifies one run of the engine; differs after a restart, not null
 * @param firstNumber the lowest sequence number of the changes; the next one if there are none
 * @param nextNumber the sequence number from which the next poll continues
 * @param hasGap whether earlier changes are missing because the engine no longer retains them
 * @param changes the changes in the order in which they occurred, not null
 */
public record CacheChanges(String epoch, long firstNumber, long nextNumber, boolean hasGap, List<CacheChange> changes) {

    /** Validates the components and copies the list. */
    public CacheChanges {
        Objects.requireNonNull(epoch, "epoch");
        changes = List.copyOf(changes);
    }

    /**
     * Creates changes that all follow the number from which they were requested.
     *
     * @param epoch identifies one run of the engine; differs after a restart, not null
     * @param nextNumber the sequence number from which the next poll continues
     * @param hasGap whether earlier changes are missing because the engine no longer retains them
     * @param changes the changes in the order in which they occurred, not null
     */
    public CacheChanges(String epoch, long nextNumber, boolean hasGap, List<CacheChange> changes) {
        this(epoch, nextNumber, nextNumber, hasGap, changes);
    }

    /**
     * Returns whether these changes may follow a number. The changes that were returned to an earlier poll do not. If
     * nothing had changed then, they are as good as the ones that follow.
     *
     * @param sinceNumber the sequence number of the first change that was requested
     * @return whether no change has a lower number
     */
    public boolean mayFollow(long sinceNumber) {
        return firstNumber >= sinceNumber && nextNumber >= sinceNumber;
    }

    /**
     * A change of one segment.
     *
     * @param segmentId the id of the segment, not null
     * @param cachedTokens the number of its tokens that are now cached; zero if it was evicted
     */
    public record CacheChange(String segmentId, int cachedTokens) {
        /** Validates the components. */
        public CacheChange {
            Objects.requireNonNull(segmentId, "partId");
        }
    }
}
