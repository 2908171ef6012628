package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Decides whether connections to a target are used for more than one call.
 *
 * <p>Failure: a target that answers calls twice sends the second answer to an earlier call where the next call on the
 * connection expects its own. If that second answer is cut off, the own one cannot be read, and the call is lost though it
 * may have run. On a connection of its own, a call meets no second answer to another one. This instance learns by itself that a
 * target does so: each connection detects it, so the others need not be told.
 *
 * <p>A target with the same id that has started again is judged by what its earlier start did until the time has passed.
 */
public final class ConnectionReuse {

    /** A second answer comes seconds after the first one, if at all. */
    static final long SINGLE_USE_MILLIS = 30_000;

    private final Map<String, Long> singleUseUntilMillis = new HashMap<>();

    /**
     * Records that a target sent bytes that do not belong to the call under way.
     *
     * @param targetId the id of the target, not null
     * @param nowMillis the monotonic time
     */
    public void recordRepeated(String targetId, long nowMillis) {
        singleUseUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        singleUseUntilMillis.put(Objects.requireNonNull(targetId, "targetId"), nowMillis + SINGLE_USE_MILLIS);
    }

    /**
     * Returns whether a connection that has carried a call to a target may carry another one.
     *
     * @param targetId the id of the target, not null
     * @param nowMillis the monotonic time
     * @return false for a while after the target sent such bytes
     */
    public boolean isAllowed(String targetId, long nowMillis) {
        Long untilMillis = singleUseUntilMillis.get(targetId);
        if (untilMillis == null) {
            return true;
        }
        if (nowMillis < untilMillis) {
            return false;
        }
        singleUseUntilMillis.remove(targetId);
        return true;
    }

    /**
     * Forgets a target that is gone.
     *
     * @param targetId the id of the target, not null
     */
    public void removeTarget(String targetId) {
        singleUseUntilMillis.remove(targetId);
    }
}
