package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TaskAssignmentTest {

    private static final List<String> NAMES = List.of("i1", "i2", "i3", "i4");

    private static long countAssignees(String task, Set<String> alive) {
        return NAMES.stream()
                .filter(alive::contains)
                .filter(name -> {
                    TaskAssignment assignment = new TaskAssignment(new SuccessionOrder("dc", name, 0));
                    assignment.updateMembers(alive);
                    return assignment.isAssignedToSelf(task);
                })
                .count();
    }

    /** Guards against a task that no instance or several instances consider theirs. */
    @Test
    void eachTaskIsAssignedToOneInstance() {
        for (int i = 0; i < 50; i++) {
            assertEquals(1, countAssignees("engine-" + i, Set.of("i1", "i2", "i3", "i4")));
            assertEquals(1, countAssignees("engine-" + i, Set.of("i2", "i4")));
        }
    }

    /** Guards against stale cached assignments, with which no instance would query the targets of a failed one. */
    @Test
    void taskOfFailedInstanceIsTakenOver() {
        TaskAssignment assignment = new TaskAssignment(new SuccessionOrder("dc", "i1", 0));
        assignment.updateMembers(Set.of("i1", "i2"));
        String otherTask = List.of("a", "b", "c", "d", "e", "f").stream()
                .filter(task -> !assignment.isAssignedToSelf(task))
                .findFirst()
                .orElseThrow();
        assignment.updateMembers(Set.of("i1"));
        assertEquals(true, assignment.isAssignedToSelf(otherTask));
    }
}
