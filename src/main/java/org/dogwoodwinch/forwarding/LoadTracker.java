package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Tracks the calls in flight at each target: those of this instance immediately, those of the other instances as they
 * report them. The cost of a lookup does not depend on the number of instances. Not thread-safe.
 */
public final class LoadTracker {

    private final Map<String, TargetLoad> ownLoads = new HashMap<>();
    private final Map<String, TargetLoad> totalLoads = new HashMap<>();
    private final Map<String, Map<String, TargetLoad>> peerLoads = new HashMap<>();

    /**
     * Records that a call was sent.
     *
     * @param targetId the target's id, not null
     * @param level the call's level in the target's queue
     * @param prefillTokens the tokens that the target has to prefill before the first event
     */
    public void recordSend(String targetId, int level, int prefillTokens) {
        adjust(targetId, new TargetLoad(1, PrefillQueue.ofPrompt(level, prefillTokens)));
    }

    /**
     * Records that the prompt of a call was prefilled.
     *
     * @param targetId the target's id, not null
     * @param level the level passed to {@link #recordSend}
     * @param prefillTokens the tokens passed to {@link #recordSend}
     */
    public void recordPrefill(String targetId, int level, int prefillTokens) {
        adjust(targetId, new TargetLoad(0, PrefillQueue.EMPTY.minus(PrefillQueue.ofPrompt(level, prefillTokens))));
    }

    /**
     * Records the end of a call whose prompt was recorded with {@link #recordPrefill} before, even if its prefill was
     * abandoned.
     *
     * @param targetId the target's id, not null
     */
    public void recordEnd(String targetId) {
        adjust(targetId, new TargetLoad(-1, PrefillQueue.EMPTY));
    }

    /**
     * Replaces the load reported by another instance.
     *
     * @param peer the instance's name, not null
     * @param loads the instance's loads by target id, not null
     */
    public void replacePeerLoads(String peer, Map<String, TargetLoad> loads) {
        removePeer(peer);
        Map<String, TargetLoad> reported = Map.copyOf(loads);
        peerLoads.put(peer, reported);
        reported.forEach((id, load) -> update(totalLoads, id, current -> current.plus(load)));
    }

    /**
     * Removes the loads of instances that are no longer alive.
     *
     * @param livePeers the names of the instances that are alive, not null
     */
    public void retainPeers(Set<String> livePeers) {
        Set<String> stalePeers = new HashSet<>(peerLoads.keySet());
        stalePeers.removeAll(livePeers);
        stalePeers.forEach(this::removePeer);
    }

    /**
     * Returns the load of this instance.
     *
     * @return the loads by target id
     */
    public Map<String, TargetLoad> ownLoads() {
        return Map.copyOf(ownLoads);
    }

    /**
     * Returns the load of all instances at a target, as far as it is known here.
     *
     * @param targetId the target's id, not null
     * @return the sum
     */
    public TargetLoad totalAt(String targetId) {
        return totalLoads.getOrDefault(targetId, TargetLoad.EMPTY);
    }

    private void removePeer(String peer) {
        Map<String, TargetLoad> reported = peerLoads.remove(peer);
        if (reported != null) {
            reported.forEach((id, load) -> update(totalLoads, id, current -> current.minus(load)));
        }
    }

    private void adjust(String targetId, TargetLoad difference) {
        update(ownLoads, targetId, current -> current.plus(difference));
        update(totalLoads, targetId, current -> current.plus(difference));
    }

    private static void update(Map<String, TargetLoad> loads, String targetId, UnaryOperator<TargetLoad> change) {
        TargetLoad changed = change.apply(loads.getOrDefault(targetId, TargetLoad.EMPTY));
        if (changed.isEmpty()) {
            loads.remove(targetId);
        } else {
            loads.put(targetId, changed);
        }
    }
}
