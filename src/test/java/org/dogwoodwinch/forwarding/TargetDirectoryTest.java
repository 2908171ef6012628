package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TargetDirectoryTest {

    private final TargetDirectory directory = new TargetDirectory(new TargetHealth(() -> 0), NoLimits.book());

    private static Optional<Incarnation> target(String id, boolean leaving) {
        return Optional.of(new Incarnation(id, "s", "10.0.0.1", 80, "dc", 1, leaving, Stage.WHOLE, 0));
    }

    private List<String> ready() {
        return directory.ready("s").stream().map(Incarnation::id).sorted().toList();
    }

    /** A page is read late: it still lists a target as ready that a newer record let go. The record stands. */
    @Test
    void anOlderWordNeverBringsATargetBack() {
        directory.apply("a", 5, target("a", true));
        assertFalse(directory.apply("a", 4, target("a", false)));
        assertEquals(List.of(), ready());

        directory.apply("a", 6, Optional.empty());
        assertFalse(directory.apply("a", 6, target("a", false)));
        assertTrue(directory.find("a").isEmpty());
    }

    /** The stream's history was dropped. A full reading lists what is left; what it covers and does not list is gone. */
    @Test
    void aFullReadingRemovesWhatItCoversAndDoesNotList() {
        directory.apply("a", 1, target("a", false));
        directory.apply("b", 2, target("b", false));
        directory.apply("c", 9, target("c", false));

        assertEquals(List.of("b"), directory.retain(Set.of("a"), 8));

        assertEquals(List.of("a", "c"), ready());
        assertFalse(directory.apply("b", 7, target("b", false)));
        assertTrue(directory.apply("b", 8, target("b", false)));
    }

    @Test
    void onlyReadyTargetsOfTheServiceAreOffered() {
        directory.apply("a", 1, target("a", false));
        directory.apply("b", 2, target("b", true));

        assertEquals(List.of("a"), ready());
        assertEquals(List.of(), directory.ready("t"));
        assertEquals(2, directory.all().size());
    }
}
