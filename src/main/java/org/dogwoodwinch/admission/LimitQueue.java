package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Requests that wait for their owner's limit, in order of arrival for each owner. */
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

    /** Whether an earlier request of the same entry waits; a later one must not overtake it. */
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

    /** All that wait, in an order in which a decision may take them out of the queue. */
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
