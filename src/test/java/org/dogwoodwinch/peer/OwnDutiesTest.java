package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class OwnDutiesTest {

    private static final List<String> NAMES = List.of("i1", "i2", "i3", "i4");

    private static long takers(String duty, Set<String> alive) {
        return NAMES.stream()
                .filter(alive::contains)
                .filter(name -> {
                    OwnDuties duties = new OwnDuties(new Succession("dc", name, 0));
                    duties.among(alive);
                    return duties.fallsToOwn(duty);
                })
                .count();
    }

    /** Each duty falls to one instance, whoever is alive. */
    @Test
    void eachDutyFallsToOne() {
        for (int i = 0; i < 50; i++) {
            assertEquals(1, takers("engine-" + i, Set.of("i1", "i2", "i3", "i4")));
            assertEquals(1, takers("engine-" + i, Set.of("i2", "i4")));
        }
    }

    /** Somebody dies, and what was ranked while it lived is ranked anew: else nobody asked its engines any more. */
    @Test
    void aDutyOfOneThatDiedIsTakenOver() {
        OwnDuties duties = new OwnDuties(new Succession("dc", "i1", 0));
        duties.among(Set.of("i1", "i2"));
        String others = List.of("a", "b", "c", "d", "e", "f").stream()
                .filter(duty -> !duties.fallsToOwn(duty))
                .findFirst()
                .orElseThrow();
        duties.among(Set.of("i1"));
        assertEquals(true, duties.fallsToOwn(others));
    }
}
