package org.dogwoodwinch.relay;

import java.util.Objects;

/**
 * Handle of the KV cache of a prefilled prompt. The engine that prefilled it keeps the cache until it is fetched once.
 *
 * @param address the address of that engine, not null
 * @param handle identifies the cache on that engine, not null
 */
public record KvCacheHandle(String address, String handle) {

    /** Validates the components. */
    public KvCacheHandle {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(handle, "handle");
    }
}
