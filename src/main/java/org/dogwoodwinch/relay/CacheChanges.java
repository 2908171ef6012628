package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;

/**
 * Changes of the prompt segments in an engine's KV cache.
 *
 * @param epoch identifies one run of the engine; differs after a restart, not null
 * @param nextNumber the sequence number from which the next poll continues
 * @param hasGap whether earlier changes are missing because the engine no longer retains them
 * @param changes the changes in the order in which they occurred, not null
 */
public record CacheChanges(String epoch, long nextNumber, boolean hasGap, List<CacheChange> changes) {

    /** Validates the components and copies the list. */
    public CacheChanges {
        Objects.requireNonNull(epoch, "epoch");
        changes = List.copyOf(changes);
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
