package org.dogwoodwinch.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Which duties fall to this instance among those of its data centre that are believed alive. Not thread-safe.
 *
 * <p>Load: each instance asks for each target several times a second, and an answer ranks all instances of the data centre.
 * Targets times instances were ranked anew each time, which was a good part of what an idle instance of a large fleet did.
 * Here a duty is ranked once, and again only when somebody came or went.
 */
final class TaskAssignment {

    /** More than the targets of any fleet; what is beyond has gone long ago, and is ranked again where it is asked for. */
    private static final int MAX_CACHED_TASKS = 20_000;

    private final SuccessionOrder succession;
    private final Map<String, Boolean> assignments = new HashMap<>();
    private Set<String> aliveMembers = Set.of();

    TaskAssignment(SuccessionOrder succession) {
        this.succession = Objects.requireNonNull(succession, "succession");
    }

    /** Takes the names of those that are alive; what was ranked among others is forgotten. */
    void updateMembers(Set<String> names) {
        if (!aliveMembers.equals(names)) {
            aliveMembers = Set.copyOf(names);
            assignments.clear();
        }
    }

    /** Whether nobody that is alive ranks higher for the thing. */
    boolean isAssignedToSelf(String key) {
        if (assignments.size() >= MAX_CACHED_TASKS) {
            assignments.clear();
        }
        return assignments.computeIfAbsent(key, task -> succession.isAssignedToSelf(task, aliveMembers));
    }
}
