package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * What is under way at each target: this instance's own sends at once, the other instances' as they tell them. A look at
 * a target costs the same however many instances there are. Not thread-safe.
 */
public final class LoadBook {

    private final Map<String, TargetLoad> own = new HashMap<>();
    private final Map<String, TargetLoad> totalLoads = new HashMap<>();
    private final Map<String, Map<String, TargetLoad>> peerLoads = new HashMap<>();

    /**
     * A call was sent.
     *
     * @param targetId the target's id, not null
     * @param level the call's level in the target's queue
     * @param prefillTokens the tokens that the target has to read before its first event
     */
    public void sent(String targetId, int level, int prefillTokens) {
        adjust(targetId, new TargetLoad(1, ReadQueue.one(level, prefillTokens)));
    }

    /**
     * A call's prompt was read.
     *
     * @param targetId the target's id, not null
     * @param level as told to {@link #sent}
     * @param prefillTokens as told to {@link #sent}
     */
    public void read(String targetId, int level, int prefillTokens) {
        adjust(targetId, new TargetLoad(0, ReadQueue.EMPTY.minus(ReadQueue.one(level, prefillTokens))));
    }

    /**
     * A call ended, its prompt read or given up before.
     *
     * @param targetId the target's id, not null
     */
    public void ended(String targetId) {
        adjust(targetId, new TargetLoad(-1, ReadQueue.EMPTY));
    }

    /**
     * Takes what another instance has under way; it replaces what that instance told before.
     *
     * @param peer the instance's name, not null
     * @param loads by target, not null
     */
    public void heard(String peer, Map<String, TargetLoad> loads) {
        removePeer(peer);
        Map<String, TargetLoad> reported = Map.copyOf(loads);
        peerLoads.put(peer, reported);
        reported.forEach((id, load) -> update(totalLoads, id, current -> current.plus(load)));
    }

    /**
     * Forgets instances that are not heard of any more.
     *
     * @param livePeers the names of those that are, not null
     */
    public void retainPeers(Set<String> livePeers) {
        Set<String> stalePeers = new HashSet<>(peerLoads.keySet());
        stalePeers.removeAll(livePeers);
        stalePeers.forEach(this::removePeer);
    }

    /**
     * Returns what this instance has under way.
     *
     * @return loads by target
     */
    public Map<String, TargetLoad> own() {
        return Map.copyOf(own);
    }

    /**
     * Returns what all instances have under way at a target, as far as it is known here.
     *
     * @param targetId the target's id, not null
     * @return the sum
     */
    public TargetLoad at(String targetId) {
        return totalLoads.getOrDefault(targetId, TargetLoad.EMPTY);
    }

    private void removePeer(String peer) {
        Map<String, TargetLoad> reported = peerLoads.remove(peer);
        if (reported != null) {
            reported.forEach((id, load) -> update(totalLoads, id, current -> current.minus(load)));
        }
    }

    private void adjust(String targetId, TargetLoad difference) {
        update(own, targetId, current -> current.plus(difference));
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
