package org.dogwoodwinch.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The incarnations of targets that have stated in an answer that they are leaving. Not thread-safe.
 *
 * <p>Failure: the store accepts a target's entry many seconds late, or another instance passes on an older entry, in
 * which the target is ready; calls are sent to a target that is about to exit. A statement therefore outlasts every
 * entry of the same incarnation, also one that disappears and returns. Only a later start under the same id ends it.
 */
final class LeavingIncarnations {

    /** Bounds the memory for targets that never return; those recorded first are forgotten first. */
    private static final int MAX_TARGETS = 10_000;

    private final Map<String, Long> startedMillisById = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> _eldest) {
            return size() > MAX_TARGETS;
        }
    };

    /**
     * Records that an incarnation is leaving.
     *
     * @param targetId the target's id, not null
     * @param startedMillis the start time of the incarnation; zero if not stated
     * @return whether that was unknown
     */
    boolean record(String targetId, long startedMillis) {
        Long known = startedMillisById.get(targetId);
        if (known != null && known >= startedMillis) {
            return false;
        }
        startedMillisById.put(targetId, startedMillis);
        return true;
    }

    /**
     * Returns whether an incarnation, or a later one of the same target, is leaving.
     *
     * @param incarnation the incarnation, not null
     * @return whether it may get no new calls
     */
    boolean contains(Incarnation incarnation) {
        Long startedMillis = startedMillisById.get(incarnation.id());
        return startedMillis != null && incarnation.startedMillis() <= startedMillis;
    }
}
