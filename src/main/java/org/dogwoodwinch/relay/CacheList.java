package org.dogwoodwinch.relay;

import java.util.List;
import java.util.Objects;

/**
 * All parts that an engine keeps.
 *
 * @param epoch changes when the engine restarts, not null
 * @param nextNumber the first change that the list does not hold
 * @param parts the parts, with how much of each is kept, not null
 */
public record CacheList(String epoch, long nextNumber, List<CacheChanges.CacheChange> parts) {

    /** Checks and copies. */
    public CacheList {
        Objects.requireNonNull(epoch, "epoch");
        parts = List.copyOf(parts);
    }
}
