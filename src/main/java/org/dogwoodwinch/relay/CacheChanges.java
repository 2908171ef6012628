package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;

/**
 * What changed in an engine's memory of parts.
 *
 * @param epoch changes when the engine restarts, not null
 * @param nextNumber where the next question goes on
 * @param gap whether events before these are lost
 * @param changes in order, not null
 */
public record CacheChanges(String epoch, long nextNumber, boolean gap, List<CacheChange> changes) {

    /** Checks and copies. */
    public CacheChanges {
        Objects.requireNonNull(epoch, "epoch");
        changes = List.copyOf(changes);
    }

    /**
     * One part's change.
     *
     * @param partId the part, not null
     * @param keptTokens how many of its tokens are kept now; zero where it was dropped
     */
    public record CacheChange(String partId, int keptTokens) {
        /** Checks. */
        public CacheChange {
            Objects.requireNonNull(partId, "partId");
        }
    }
}
