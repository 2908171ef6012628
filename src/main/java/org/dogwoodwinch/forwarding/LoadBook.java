package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What is under way at each target: this instance's own sends at once, the other instances' as they tell them. Not
 * thread-safe.
 */
public final class LoadBook {

    private static final TargetLoad NOTHING = new TargetLoad(0, 0);

    private final Map<String, Own> own = new HashMap<>();
    private final Map<String, Map<String, TargetLoad>> ofPeers = new HashMap<>();

    /**
     * A call was sent.
     *
     * @param targetId the target's id, not null
     * @param unreadTokens the tokens that the target has to read before its first event
     */
    public void sent(String targetId, int unreadTokens) {
        Own load = own.computeIfAbsent(targetId, _id -> new Own());
        load.callsCount++;
        load.unreadTokens += unreadTokens;
    }

    /**
     * A call's prompt was read.
     *
     * @param targetId the target's id, not null
     * @param unreadTokens as told to {@link #sent}
     */
    public void read(String targetId, int unreadTokens) {
        Own load = own.get(targetId);
        if (load != null) {
            load.unreadTokens -= unreadTokens;
        }
    }

    /**
     * A call ended.
     *
     * @param targetId the target's id, not null
     */
    public void ended(String targetId) {
        Own load = own.get(targetId);
        if (load == null) {
            return;
        }
        load.callsCount--;
        if (load.callsCount <= 0) {
            own.remove(targetId);
        }
    }

    /**
     * Takes what another instance has under way; it replaces what that instance told before.
     *
     * @param peer the instance's name, not null
     * @param loads by target, not null
     */
    public void heard(String peer, Map<String, TargetLoad> loads) {
        ofPeers.put(peer, Map.copyOf(loads));
    }

    /**
     * Forgets instances that are not heard of any more.
     *
     * @param alive the names of those that are, not null
     */
    public void retainPeers(Set<String> alive) {
        ofPeers.keySet().retainAll(alive);
    }

    /**
     * Returns what this instance has under way.
     *
     * @return loads by target
     */
    public Map<String, TargetLoad> own() {
        Map<String, TargetLoad> loads = new HashMap<>();
        own.forEach((id, load) -> loads.put(id, new TargetLoad(load.callsCount, load.unreadTokens)));
        return loads;
    }

    /**
     * Returns what all instances have under way at a target, as far as it is known here.
     *
     * @param targetId the target's id, not null
     * @return the sum
     */
    public TargetLoad at(String targetId) {
        Own mine = own.get(targetId);
        int calls = mine == null ? 0 : mine.callsCount;
        long unread = mine == null ? 0 : mine.unreadTokens;
        for (Map<String, TargetLoad> peer : ofPeers.values()) {
            TargetLoad told = peer.getOrDefault(targetId, NOTHING);
            calls += told.callsCount();
            unread += told.unreadTokens();
        }
        return new TargetLoad(calls, unread);
    }

    private static final class Own {
        private int callsCount;
        private long unreadTokens;
    }
}
