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
                Arrays.stream(segmentIds).map(id -> new PromptSegment(id, 10)).toList());
    }

    @Test
    void allSegmentsButTheLastAreSharedAndReportedOnce() {
        shared.recordPrompt(prompt("a", "b", "own1"));
        shared.recordPrompt(prompt("a", "b", "own2"));

        assertTrue(shared.isShared("a") && shared.isShared("b"));
        assertFalse(shared.isShared("own1"));
        assertEquals(List.of("a", "b"), shared.takeNewlyShared());
        assertEquals(List.of(), shared.takeNewlyShared());
    }

    /** The next request of a session ends with the same segment, so other requests do contain it. */
    @Test
    void repeatedLastSegmentIsShared() {
        shared.recordPrompt(prompt("a", "s1"));
        shared.recordPrompt(prompt("a", "s1"));

        assertTrue(shared.isShared("s1"));
        assertEquals(List.of("a", "s1"), shared.takeNewlyShared());
    }

    @Test
    void segmentReportedByAnotherInstanceIsNotReportedAgain() {
        assertTrue(shared.markShared("a"));
        assertFalse(shared.markShared("a"));

        shared.recordPrompt(prompt("a", "own"));

        assertEquals(List.of(), shared.takeNewlyShared());
    }

    @Test
    void promptWithoutSegmentsReportsNothing() {
        shared.recordPrompt(prompt());

        assertEquals(List.of(), shared.takeNewlyShared());
    }

    /** New segments arrive all the time, so unused ones must be evicted. */
    @Test
    void leastRecentlyUsedSegmentIsEvicted() {
        shared.recordPrompt(prompt("old", "own"));
        for (int i = 0; i < 10_000; i++) {
            shared.markShared("p" + i);
        }

        assertFalse(shared.isShared("old"));
        assertTrue(shared.isShared("p9999"));
    }
}
