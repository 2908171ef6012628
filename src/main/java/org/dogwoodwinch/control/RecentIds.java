package org.dogwoodwinch.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The ids of the most recent records, used to apply a record only once if it was appended twice. Not thread-safe.
 *
 * <p>The number of retained ids is bounded. This is sufficient because a duplicate that arrives later is rejected
 * anyway: each kind of record names the state that it is based on.
 */
final class RecentIds {

    private static final int MAX_IDS = 512;

    private final Set<String> ids;

    /**
     * Restores the set from a snapshot.
     *
     * @param ids the ids, oldest first, not null
     */
    RecentIds(List<String> ids) {
        this.ids = new LinkedHashSet<>(ids);
    }

    /**
     * Adds an id.
     *
     * @param id the id, not null
     * @return true if the id is not among the retained ones
     */
    boolean add(String id) {
        if (!ids.add(id)) {
            return false;
        }
        if (ids.size() > MAX_IDS) {
            ids.remove(ids.iterator().next());
        }
        return true;
    }

    List<String> snapshot() {
        return List.copyOf(ids);
    }
}
