package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The requests that wait for their owner's limits, in order of arrival for each owner. */
final class LimitQueue {

    private final int maxPerOwner;
    private final Map<String, List<WaitingRequest>> queuesByOwner = new HashMap<>();

    LimitQueue(int maxPerOwner) {
        this.maxPerOwner = maxPerOwner;
    }

    boolean hasCapacity(WaitingRequest waiting) {
        List<WaitingRequest> ownerQueue = queuesByOwner.get(ownerOf(waiting));
        return ownerQueue == null || ownerQueue.size() < maxPerOwner;
    }

    /** Returns whether an earlier request of the same entry waits, which a later one must not overtake. */
    boolean hasEarlierOfSameEntry(WaitingRequest waiting) {
        List<WaitingRequest> ownerQueue = queuesByOwner.get(ownerOf(waiting));
        return ownerQueue != null
                && ownerQueue.stream()
                        .anyMatch(earlier -> earlier.request()
                                .entry()
                                .name()
                                .equals(waiting.request().entry().name()));
    }

    void add(WaitingRequest waiting) {
        queuesByOwner
                .computeIfAbsent(ownerOf(waiting), _owner -> new ArrayList<>())
                .add(waiting);
    }

    void remove(WaitingRequest waiting) {
        List<WaitingRequest> ownerQueue = queuesByOwner.get(ownerOf(waiting));
        if (ownerQueue != null) {
            ownerQueue.remove(waiting);
            removeIfEmpty(ownerOf(waiting), ownerQueue);
        }
    }

    void clear() {
        queuesByOwner.clear();
    }

    boolean isEmpty() {
        return queuesByOwner.isEmpty();
    }

    /** Returns a copy of all waiting requests, in order of arrival for each owner. */
    List<WaitingRequest> snapshot() {
        List<WaitingRequest> all = new ArrayList<>();
        queuesByOwner.values().forEach(all::addAll);
        return all;
    }

    private void removeIfEmpty(String owner, List<WaitingRequest> ownerQueue) {
        if (ownerQueue.isEmpty()) {
            queuesByOwner.remove(owner);
        }
    }

    private static String ownerOf(WaitingRequest waiting) {
        return waiting.request().entry().owner();
    }
}
