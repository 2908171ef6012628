package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TaskAssignmentTest {

    private static final List<String> NAMES = List.of("i1", "i2", "i3", "i4");

    private static long takers(String duty, Set<String> alive) {
        return NAMES.stream()
                .filter(alive::contains)
                .filter(name -> {
                    TaskAssignment duties = new TaskAssignment(new SuccessionOrder("dc", name, 0));
                    duties.updateMembers(alive);
                    return duties.isAssignedToSelf(duty);
                })
                .count();
    }

    /** Guards against a task that no instance or several instances consider theirs. */
    @Test
    void eachDutyFallsToOne() {
        for (int i = 0; i < 50; i++) {
            assertEquals(1, takers("engine-" + i, Set.of("i1", "i2", "i3", "i4")));
            assertEquals(1, takers("engine-" + i, Set.of("i2", "i4")));
        }
    }

    /** Guards against cached assignments that keep the tasks of a failed instance from being taken over. */
    @Test
    void aDutyOfOneThatDiedIsTakenOver() {
        TaskAssignment duties = new TaskAssignment(new SuccessionOrder("dc", "i1", 0));
        duties.updateMembers(Set.of("i1", "i2"));
        String others = List.of("a", "b", "c", "d", "e", "f").stream()
                .filter(duty -> !duties.isAssignedToSelf(duty))
                .findFirst()
                .orElseThrow();
        duties.updateMembers(Set.of("i1"));
        assertEquals(true, duties.isAssignedToSelf(others));
    }
}
