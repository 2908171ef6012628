package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;

/**
 * The complete list of prompt segments in an engine's KV cache.
 *
 * @param epoch identifies one run of the engine; differs after a restart, not null
 * @param nextNumber the sequence number of the first change that the list does not include
 * @param parts the segments with their numbers of cached tokens, not null
 */
public record CacheList(String epoch, long nextNumber, List<CacheChanges.CacheChange> parts) {

    /** Validates the components and copies the list. */
    public CacheList {
        Objects.requireNonNull(epoch, "epoch");
        parts = List.copyOf(parts);
    }
}
