package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Requests that wait for their owner's limit, in order of arrival for each owner. */
final class LimitQueue {

    private final int mostOfOneOwner;
    private final Map<String, List<WaitingRequest>> byOwner = new HashMap<>();

    LimitQueue(int mostOfOneOwner) {
        this.mostOfOneOwner = mostOfOneOwner;
    }

    boolean hasRoom(WaitingRequest waiting) {
        List<WaitingRequest> line = byOwner.get(ownerOf(waiting));
        return line == null || line.size() < mostOfOneOwner;
    }

    /** Whether an earlier request of the same entry waits; a later one must not overtake it. */
    boolean isBehind(WaitingRequest waiting) {
        List<WaitingRequest> line = byOwner.get(ownerOf(waiting));
        return line != null
                && line.stream()
                        .anyMatch(earlier -> earlier.request()
                                .entry()
                                .name()
                                .equals(waiting.request().entry().name()));
    }

    void add(WaitingRequest waiting) {
        byOwner.computeIfAbsent(ownerOf(waiting), _owner -> new ArrayList<>()).add(waiting);
    }

    void remove(WaitingRequest waiting) {
        List<WaitingRequest> line = byOwner.get(ownerOf(waiting));
        if (line != null) {
            line.remove(waiting);
            removeIfEmpty(ownerOf(waiting), line);
        }
    }

    void clear() {
        byOwner.clear();
    }

    boolean isEmpty() {
        return byOwner.isEmpty();
    }

    /** All that wait, in an order in which a decision may take them out of the queue. */
    List<WaitingRequest> snapshot() {
        List<WaitingRequest> all = new ArrayList<>();
        byOwner.values().forEach(all::addAll);
        return all;
    }

    private void removeIfEmpty(String owner, List<WaitingRequest> line) {
        if (line.isEmpty()) {
            byOwner.remove(owner);
        }
    }

    private static String ownerOf(WaitingRequest waiting) {
        return waiting.request().entry().owner();
    }
}
