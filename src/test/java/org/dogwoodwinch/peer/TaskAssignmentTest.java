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

    /** Guards against targets that nobody queries because the instance that should reaches none. */
    @Test
    void taskOfInstanceThatCannotPerformItIsTakenOver() {
        for (int i = 0; i < 50; i++) {
            String task = "engine-" + i;
            long assigned = NAMES.stream()
                    .filter(name -> {
                        TaskAssignment assignment = new TaskAssignment(new SuccessionOrder("dc", name, 0));
                        assignment.updateMembers(Set.copyOf(NAMES));
                        assignment.updateUnable(Set.of("i1", "i2", "i3"));
                        return assignment.isAssignedToSelf(task);
                    })
                    .peek(name -> assertEquals("i4", name))
                    .count();
            assertEquals(1, assigned);
        }
    }

    /** Guards against targets that nobody queries because all instances were cut off a moment ago. */
    @Test
    void taskStaysAssignedWhenNoInstanceCanPerformIt() {
        TaskAssignment assignment = new TaskAssignment(new SuccessionOrder("dc", "i1", 0));
        assignment.updateMembers(Set.of("i1"));
        assignment.updateUnable(Set.of("i1"));
        assertEquals(true, assignment.isAssignedToSelf("engine-1"));
    }
}
