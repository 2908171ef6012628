package org.dogwoodwinch.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Determines which tasks are assigned to this instance among the live instances of its data centre. Not thread-safe.
 *
 * <p>Load: each instance looks up each target several times a second, and each lookup ranks all instances of the data
 * centre. Repeating this for every target made up a good part of the work of an idle instance in a large fleet. Here a
 * task is ranked once, and again only when the set of live instances changes.
 */
final class TaskAssignment {

    /**
     * More than the targets of any fleet; entries of targets that are gone are discarded with the rest, and ranked
     * again if they are looked up.
     */
    private static final int MAX_CACHED_TASKS = 20_000;

    private final SuccessionOrder succession;
    private final Map<String, Boolean> assignments = new HashMap<>();
    private Set<String> aliveMembers = Set.of();
    private Set<String> unableMembers = Set.of();

    TaskAssignment(SuccessionOrder succession) {
        this.succession = Objects.requireNonNull(succession, "succession");
    }

    /** Sets the names of the live instances; if they have changed, cached assignments are discarded. */
    void updateMembers(Set<String> names) {
        if (!aliveMembers.equals(names)) {
            aliveMembers = Set.copyOf(names);
            assignments.clear();
        }
    }

    /**
     * Sets the names of the instances that cannot perform tasks although they are alive; if they have changed, cached
     * assignments are discarded.
     */
    void updateUnable(Set<String> names) {
        if (!unableMembers.equals(names)) {
            unableMembers = Set.copyOf(names);
            assignments.clear();
        }
    }

    /**
     * Returns whether no live instance that can perform the task ranks higher for it. If none can, all count, as it is
     * then unknown which of them will be able first.
     */
    boolean isAssignedToSelf(String key) {
        if (assignments.size() >= MAX_CACHED_TASKS) {
            assignments.clear();
        }
        return assignments.computeIfAbsent(key, this::rank);
    }

    private boolean rank(String task) {
        Set<String> able = new HashSet<>(aliveMembers);
        able.removeAll(unableMembers);
        if (able.isEmpty()) {
            return succession.isAssignedToSelf(task, aliveMembers);
        }
        return !unableMembers.contains(succession.ownName()) && succession.isAssignedToSelf(task, able);
    }
}
