package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;

/** What this instance has under way at each target. Not thread-safe. */
public final class LoadBook {

    private final Map<String, Load> loads = new HashMap<>();

    /**
     * A call was sent.
     *
     * @param targetId the target's id, not null
     * @param promptTokens the tokens that the target has to read before its first event
     */
    public void sent(String targetId, int promptTokens) {
        Load load = loads.computeIfAbsent(targetId, _id -> new Load());
        load.callsCount++;
        load.unreadTokens += promptTokens;
    }

    /**
     * A call's prompt was read.
     *
     * @param targetId the target's id, not null
     * @param promptTokens as told to {@link #sent}
     */
    public void read(String targetId, int promptTokens) {
        Load load = loads.get(targetId);
        if (load != null) {
            load.unreadTokens -= promptTokens;
        }
    }

    /**
     * A call ended.
     *
     * @param targetId the target's id, not null
     */
    public void ended(String targetId) {
        Load load = loads.get(targetId);
        if (load == null) {
            return;
        }
        load.callsCount--;
        if (load.callsCount <= 0) {
            loads.remove(targetId);
        }
    }

    /**
     * Returns the calls under way.
     *
     * @param targetId the target's id, not null
     * @return how many were sent from here and have not ended
     */
    public int callsCount(String targetId) {
        Load load = loads.get(targetId);
        return load == null ? 0 : load.callsCount;
    }

    /**
     * Returns the prompt tokens that wait to be read.
     *
     * @param targetId the target's id, not null
     * @return the tokens sent from here whose calls show no event yet
     */
    public long unreadTokens(String targetId) {
        Load load = loads.get(targetId);
        return load == null ? 0 : load.unreadTokens;
    }

    private static final class Load {
        private int callsCount;
        private long unreadTokens;
    }
}
