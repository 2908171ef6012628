package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetDirectoryTest {

    private final TargetDirectory directory =
            new TargetDirectory(new TargetHealth(() -> 0), NoRateLimits.create(), NoRests.create());

    private static Optional<Incarnation> target(String id, boolean draining) {
        return Optional.of(new Incarnation(id, "s", "10.0.0.1", 80, "dc", 1, draining, Stage.WHOLE, 0));
    }

    private List<String> readyIds() {
        return directory.readyTargets("s").stream()
                .map(Incarnation::id)
                .sorted()
                .toList();
    }

    /** A page that was read late still lists a target that a newer record removed; the newer record counts. */
    @Test
    void olderRecordDoesNotRestoreATarget() {
        directory.apply("a", 5, target("a", true));
        assertFalse(directory.apply("a", 4, target("a", false)));
        assertEquals(List.of(), readyIds());

        directory.apply("a", 6, Optional.empty());
        assertFalse(directory.apply("a", 6, target("a", false)));
        assertTrue(directory.find("a").isEmpty());
    }

    /**
     * After the stream's history was dropped, a full listing removes the entries that it covers and does not contain.
     */
    @Test
    void fullListingRemovesCoveredEntriesThatItDoesNotContain() {
        directory.apply("a", 1, target("a", false));
        directory.apply("b", 2, target("b", false));
        directory.apply("c", 9, target("c", false));

        assertEquals(List.of("b"), directory.retainListed(Set.of("a"), 8));

        assertEquals(List.of("a", "c"), readyIds());
        assertFalse(directory.apply("b", 7, target("b", false)));
        assertTrue(directory.apply("b", 8, target("b", false)));
    }

    @Test
    void onlyReadyTargetsOfTheServiceAreReturned() {
        directory.apply("a", 1, target("a", false));
        directory.apply("b", 2, target("b", true));

        assertEquals(List.of("a"), readyIds());
        assertEquals(List.of(), directory.readyTargets("t"));
        assertEquals(2, directory.all().size());
    }
}
