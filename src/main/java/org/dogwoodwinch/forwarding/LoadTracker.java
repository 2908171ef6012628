package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the calls in flight at each target: those of this instance immediately, those of the other instances as they
 * report them. The cost of a lookup does not depend on the number of instances. Not thread-safe.
 */
public final class LoadTracker {

    private final Map<String, TargetLoad> ownLoads = new HashMap<>();
    /**
     * Sums by target, computed when they are first asked for after a change. Only targets that a load names have one, so
     * that those that are gone leave nothing here.
     */
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
        Map<String, TargetLoad> reported = Map.copyOf(loads);
        forgetTotals(peerLoads.put(peer, reported));
        forgetTotals(reported);
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
     * Returns the load of this instance at a target.
     *
     * @param targetId the target's id, not null
     * @return the load
     */
    public TargetLoad ownAt(String targetId) {
        return ownLoads.getOrDefault(targetId, TargetLoad.EMPTY);
    }

    /**
     * Returns the load of all instances at a target, as far as it is known here.
     *
     * @param targetId the target's id, not null
     * @return the sum
     */
    public TargetLoad totalAt(String targetId) {
        TargetLoad known = totalLoads.get(targetId);
        if (known == null) {
            known = sumAt(targetId);
            if (!known.isEmpty()) {
                totalLoads.put(targetId, known);
            }
        }
        return known;
    }

    /** Returns the number of sums that are held. */
    int heldSumsCount() {
        return totalLoads.size();
    }

    private TargetLoad sumAt(String targetId) {
        TargetLoad sum = ownLoads.get(targetId);
        for (Map<String, TargetLoad> reported : peerLoads.values()) {
            TargetLoad load = reported.get(targetId);
            if (load != null) {
                sum = sum == null ? load : sum.plus(load);
            }
        }
        return sum == null ? TargetLoad.EMPTY : sum;
    }

    private void removePeer(String peer) {
        forgetTotals(peerLoads.remove(peer));
    }

    /**
     * Load: a report over a whole fleet arrives several times a second and names every target, while an instance asks
     * for the sums only when it chooses a target. Adding and subtracting each report cost more than the choices.
     */
    private void forgetTotals(Map<String, TargetLoad> reported) {
        if (reported != null && !totalLoads.isEmpty()) {
            if (reported.size() >= totalLoads.size()) {
                totalLoads.clear();
            } else {
                reported.keySet().forEach(totalLoads::remove);
            }
        }
    }

    private void adjust(String targetId, TargetLoad difference) {
        TargetLoad changed = ownLoads.getOrDefault(targetId, TargetLoad.EMPTY).plus(difference);
        if (changed.isEmpty()) {
            ownLoads.remove(targetId);
        } else {
            ownLoads.put(targetId, changed);
        }
        totalLoads.remove(targetId);
    }
}
