package org.dogwoodwinch.relay;

import java.util.Arrays;

/**
 * The ids of the last calls that a connection has carried, as hashes. May take an id for another one with the same hash,
 * which costs no more than a new connection.
 */
final class RecentIds {

    /** A call comes back within its time-out; a connection carries its calls one after another. */
    private static final int MAX_COUNT = 256;

    private static final int FIRST_CAPACITY = 8;

    private int[] hashes = new int[FIRST_CAPACITY];
    private int addedCount;

    /**
     * Adds an id, in place of the oldest one if there are too many.
     *
     * @param id the id, not null
     */
    void add(String id) {
        if (addedCount == hashes.length && hashes.length < MAX_COUNT) {
            hashes = Arrays.copyOf(hashes, 2 * hashes.length);
        }
        hashes[addedCount % hashes.length] = id.hashCode();
        addedCount++;
    }

    /**
     * Returns whether an id is among the last ones.
     *
     * @param id the id, not null
     * @return false if it was never added, or long ago
     */
    boolean contains(String id) {
        int wanted = id.hashCode();
        return Arrays.stream(hashes, 0, Math.min(addedCount, hashes.length)).anyMatch(hash -> hash == wanted);
    }
}
