package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells a lost answer from a crashed target. Not thread-safe.
 *
 * <p>A connection that breaks may be the network's doing, or one answer's. What was under way on a target counts as under
 * way on a crash only where the target was found gone soon after: no connection could be opened, or its entry lapsed.
 */
public final class CrashEvidence {

    private final long correlationMillis;
    private final Map<String, List<LostCall>> lostCallsByTarget = new HashMap<>();

    /**
     * Creates evidence of nothing.
     *
     * @param correlationMillis how long after a loss the target's end is put down to it
     */
    public CrashEvidence(long correlationMillis) {
        this.correlationMillis = correlationMillis;
    }

    /**
     * A call whose answer was lost with its connection.
     *
     * @param fingerprint tells equal calls of a caller from others
     * @param attemptId names the send, not null
     * @param atMillis when it was lost, in monotonic milliseconds
     */
    public record LostCall(long fingerprint, String attemptId, long atMillis) {}

    /**
     * A call's answer was lost with its connection.
     *
     * @param targetId the target's id, not null
     * @param call the call, not null
     */
    public void lost(String targetId, LostCall call) {
        lostCallsByTarget.computeIfAbsent(targetId, _id -> new ArrayList<>()).add(call);
    }

    /**
     * A target was found gone.
     *
     * @param targetId the target's id, not null
     * @param nowMillis monotonic milliseconds
     * @return the calls that it crashed with, each told once
     */
    public List<LostCall> foundGone(String targetId, long nowMillis) {
        List<LostCall> lostCalls = lostCallsByTarget.remove(targetId);
        if (lostCalls == null) {
            return List.of();
        }
        return lostCalls.stream()
                .filter(call -> nowMillis - call.atMillis() <= correlationMillis)
                .toList();
    }

    /**
     * Forgets what is too old to count.
     *
     * @param nowMillis monotonic milliseconds
     */
    public void expire(long nowMillis) {
        lostCallsByTarget
                .values()
                .forEach(lostCalls -> lostCalls.removeIf(call -> nowMillis - call.atMillis() > correlationMillis));
        lostCallsByTarget.values().removeIf(List::isEmpty);
    }
}
