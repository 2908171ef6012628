package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.Incarnation;

/**
 * The attributes of one send that are stated in its headers.
 *
 * @param target the only target that may run the call, not null
 * @param remainingMillis the time until the call's deadline, at least 1 ms
 * @param level the level in the target's queue, where zero is admitted first; empty for a service without models
 * @param prefillOnly whether the target only prefills the prompt
 * @param cacheHandle the handle of the prompt's KV cache; empty if the target prefills the prompt itself
 * @param cacheSource the engine from whose KV cache segments of the prompt are fetched; empty if none are
 * @param owner the name of the owner on whose behalf the call runs; empty if it has none
 * @param lastEventId the id of the last event that the caller received; empty to start from the beginning
 */
public record SendAttributes(
        Incarnation target,
        long remainingMillis,
        Optional<Integer> level,
        boolean prefillOnly,
        Optional<KvCacheHandle> cacheHandle,
        Optional<Incarnation> cacheSource,
        Optional<String> owner,
        Optional<String> lastEventId) {

    /** Validates the components. */
    public SendAttributes {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(level, "level");
        Objects.requireNonNull(cacheHandle, "cacheHandle");
        Objects.requireNonNull(cacheSource, "cacheSource");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(lastEventId, "lastEventId");
    }
}
