package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class SharedSegmentsTest {

    private final SharedSegments shared = new SharedSegments();

    private static Prompt prompt(String... segmentIds) {
        return new Prompt(
                "m",
                100,
                10,
                Arrays.stream(segmentIds).map(id -> new PromptPart(id, 10)).toList());
    }

    @Test
    void allSegmentsButTheLastAreSharedAndReportedOnce() {
        shared.saw(prompt("a", "b", "own1"));
        shared.saw(prompt("a", "b", "own2"));

        assertTrue(shared.isShared("a") && shared.isShared("b"));
        assertFalse(shared.isShared("own1"));
        assertEquals(List.of("a", "b"), shared.takeNews());
        assertEquals(List.of(), shared.takeNews());
    }

    /** The next request of a session ends with the same segment, so other requests do contain it. */
    @Test
    void repeatedLastSegmentIsShared() {
        shared.saw(prompt("a", "s1"));
        shared.saw(prompt("a", "s1"));

        assertTrue(shared.isShared("s1"));
        assertEquals(List.of("a", "s1"), shared.takeNews());
    }

    @Test
    void segmentReportedByAnotherInstanceIsNotReportedAgain() {
        assertTrue(shared.learn("a"));
        assertFalse(shared.learn("a"));

        shared.saw(prompt("a", "own"));

        assertEquals(List.of(), shared.takeNews());
    }

    @Test
    void promptWithoutSegmentsReportsNothing() {
        shared.saw(prompt());

        assertEquals(List.of(), shared.takeNews());
    }

    /** New segments arrive all the time, so unused ones must be evicted. */
    @Test
    void leastRecentlyUsedSegmentIsEvicted() {
        shared.saw(prompt("old", "own"));
        for (int i = 0; i < 10_000; i++) {
            shared.learn("p" + i);
        }

        assertFalse(shared.isShared("old"));
        assertTrue(shared.isShared("p9999"));
    }
}
