package org.dogwoodwinch.control;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The ids of the last records, so that a record which was put on the log twice counts once. Not thread-safe.
 *
 * <p>Only so many are kept. That is enough because a second copy that comes later is void anyway: each kind of record
 * names the state that it was made from.
 */
final class RecentIds {

    private static final int MAX_IDS = 512;

    private final Set<String> ids;

    /**
     * Creates the set as it was left.
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
     * @return whether it is new
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
