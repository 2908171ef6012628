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
    private final Map<String, TargetLoad> ofAll = new HashMap<>();
    private final Map<String, Map<String, TargetLoad>> ofPeers = new HashMap<>();

    /**
     * A call was sent.
     *
     * @param targetId the target's id, not null
     * @param level the call's level in the target's queue
     * @param unreadTokens the tokens that the target has to read before its first event
     */
    public void sent(String targetId, int level, int unreadTokens) {
        change(targetId, new TargetLoad(1, ReadQueue.one(level, unreadTokens)));
    }

    /**
     * A call's prompt was read.
     *
     * @param targetId the target's id, not null
     * @param level as told to {@link #sent}
     * @param unreadTokens as told to {@link #sent}
     */
    public void read(String targetId, int level, int unreadTokens) {
        change(targetId, new TargetLoad(0, ReadQueue.EMPTY.minus(ReadQueue.one(level, unreadTokens))));
    }

    /**
     * A call ended, its prompt read or given up before.
     *
     * @param targetId the target's id, not null
     */
    public void ended(String targetId) {
        change(targetId, new TargetLoad(-1, ReadQueue.EMPTY));
    }

    /**
     * Takes what another instance has under way; it replaces what that instance told before.
     *
     * @param peer the instance's name, not null
     * @param loads by target, not null
     */
    public void heard(String peer, Map<String, TargetLoad> loads) {
        forget(peer);
        Map<String, TargetLoad> told = Map.copyOf(loads);
        ofPeers.put(peer, told);
        told.forEach((id, load) -> put(ofAll, id, known -> known.plus(load)));
    }

    /**
     * Forgets instances that are not heard of any more.
     *
     * @param alive the names of those that are, not null
     */
    public void retainPeers(Set<String> alive) {
        Set<String> silent = new HashSet<>(ofPeers.keySet());
        silent.removeAll(alive);
        silent.forEach(this::forget);
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
        return ofAll.getOrDefault(targetId, TargetLoad.NOTHING);
    }

    private void forget(String peer) {
        Map<String, TargetLoad> told = ofPeers.remove(peer);
        if (told != null) {
            told.forEach((id, load) -> put(ofAll, id, known -> known.minus(load)));
        }
    }

    private void change(String targetId, TargetLoad difference) {
        put(own, targetId, known -> known.plus(difference));
        put(ofAll, targetId, known -> known.plus(difference));
    }

    private static void put(Map<String, TargetLoad> loads, String targetId, UnaryOperator<TargetLoad> change) {
        TargetLoad changed = change.apply(loads.getOrDefault(targetId, TargetLoad.NOTHING));
        if (changed.isNothing()) {
            loads.remove(targetId);
        } else {
            loads.put(targetId, changed);
        }
    }
}
