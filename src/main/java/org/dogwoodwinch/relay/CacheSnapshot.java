package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;

/**
 * The complete list of prompt segments in an engine's KV cache.
 *
 * @param epoch identifies one run of the engine; differs after a restart, not null
 * @param nextNumber the sequence number of the first change that the list does not include
 * @param segments the segments with their numbers of cached tokens, not null
 */
public record CacheSnapshot(String epoch, long nextNumber, List<CacheChanges.CacheChange> segments) {

    /** Validates the components and copies the list. */
    public CacheSnapshot {
        Objects.requireNonNull(epoch, "epoch");
        segments = List.copyOf(segments);
    }
}
