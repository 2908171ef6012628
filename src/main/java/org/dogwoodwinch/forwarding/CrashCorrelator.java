package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distinguishes calls that were lost with their connection from calls that were running when their target crashed.
 * Not thread-safe.
 *
 * <p>A connection may also break because of the network, or for one answer alone. A lost call is attributed to a
 * crash only if its target is found gone soon afterwards: no connection could be opened, or its registration expired.
 */
public final class CrashCorrelator {

    private final long correlationMillis;
    private final Map<String, List<LostCall>> lostCallsByTarget = new HashMap<>();

    /**
     * Creates an instance without lost calls.
     *
     * @param correlationMillis maximum time between the loss of a call and the discovery of the crash to which it is
     *     attributed
     */
    public CrashCorrelator(long correlationMillis) {
        this.correlationMillis = correlationMillis;
    }

    /**
     * A call whose answer was lost with its connection.
     *
     * @param fingerprint identifies equal calls of one caller
     * @param attemptId identifies the attempt, not null
     * @param targetStart names the start of the target that received the call, not null
     * @param lostAtMillis time of the loss, in monotonic milliseconds
     * @param segments the segments of its prompt that other calls share, not null
     * @param answerBegun whether the first event of its answer had arrived, or a part of an answer without events
     */
    public record LostCall(
            long fingerprint,
            String attemptId,
            String targetStart,
            long lostAtMillis,
            List<SegmentId> segments,
            boolean answerBegun) {

        /** Copies the list. */
        public LostCall {
            segments = List.copyOf(segments);
        }
    }

    /**
     * Records that the answer to a call was lost with its connection.
     *
     * @param targetId the target's id, not null
     * @param call the call, not null
     */
    public void recordLostCall(String targetId, LostCall call) {
        lostCallsByTarget.computeIfAbsent(targetId, _id -> new ArrayList<>()).add(call);
    }

    /**
     * Records that a target is gone, and removes and returns the calls that were running when it crashed.
     *
     * @param targetId the target's id, not null
     * @param nowMillis monotonic milliseconds
     * @return the calls attributed to the crash, each returned only once
     */
    public List<LostCall> takeCrashedCalls(String targetId, long nowMillis) {
        List<LostCall> lostCalls = lostCallsByTarget.remove(targetId);
        if (lostCalls == null) {
            return List.of();
        }
        return lostCalls.stream()
                .filter(call -> nowMillis - call.lostAtMillis() <= correlationMillis)
                .toList();
    }

    /** Removes all lost calls. */
    public void clear() {
        lostCallsByTarget.clear();
    }

    /**
     * Removes lost calls that are too old to be attributed to a crash.
     *
     * @param nowMillis monotonic milliseconds
     */
    public void expire(long nowMillis) {
        lostCallsByTarget
                .values()
                .forEach(lostCalls -> lostCalls.removeIf(call -> nowMillis - call.lostAtMillis() > correlationMillis));
        lostCallsByTarget.values().removeIf(List::isEmpty);
    }
}
