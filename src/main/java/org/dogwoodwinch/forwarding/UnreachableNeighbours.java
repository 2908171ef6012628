package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The instances that lately did not accept a connection for a call. Not thread-safe.
 *
 * <p>Failure: an instance is gone, or the links of its data centre are full. Each call that is passed on finds that out
 * anew, and waits for the time-out of a connection at up to three such instances while others have room. After the
 * pause, a single call tries the instance, and the others continue to avoid it until that call has a connection.
 */
public final class UnreachableNeighbours {

    private static final long PAUSE_MILLIS = 2_000;

    /** An instance that no call has tried for so long is treated as new. */
    private static final long MEMORY_MILLIS = 60_000;

    private final Map<String, Long> avoidedUntilMillis = new HashMap<>();

    /**
     * Records that a connection could not be opened.
     *
     * @param name the name of the instance, not null
     * @param nowMillis monotonic milliseconds
     */
    public void recordUnreachable(String name, long nowMillis) {
        avoidedUntilMillis.values().removeIf(untilMillis -> nowMillis - untilMillis > MEMORY_MILLIS);
        avoidedUntilMillis.put(name, nowMillis + PAUSE_MILLIS);
    }

    /**
     * Records that an instance was chosen for a call. If it was unreachable before, other calls wait for the outcome.
     *
     * @param name the name of the instance, not null
     * @param nowMillis monotonic milliseconds
     */
    public void recordTried(String name, long nowMillis) {
        avoidedUntilMillis.computeIfPresent(name, (_name, _untilMillis) -> nowMillis + PAUSE_MILLIS);
    }

    /**
     * Records that a call has a connection.
     *
     * @param name the name of the instance, not null
     */
    public void recordReached(String name) {
        avoidedUntilMillis.remove(name);
    }

    /**
     * Returns the instances that calls avoid.
     *
     * @param nowMillis monotonic milliseconds
     * @return their names
     */
    public Set<String> names(long nowMillis) {
        return avoidedUntilMillis.entrySet().stream()
                .filter(entry -> entry.getValue() > nowMillis)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
