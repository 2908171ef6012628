package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReadQueueTest {

    private static final ReadQueue MIXED = ReadQueue.one(0, 1_000)
            .plus(ReadQueue.one(2, 6_000))
            .plus(ReadQueue.one(4, 16_000))
            .plus(ReadQueue.one(5, 20_000));

    /** An engine finishes the prompt that it reads, so the most urgent call waits for one of the others at least. */
    @Test
    void anUrgentCallWaitsForItsLevelAndOnePromptOfTheOthers() {
        assertEquals(1_000 + (6_000 + 16_000 + 20_000) / 3, MIXED.aheadOf(0));
        assertEquals(7_000 + (16_000 + 20_000) / 2, MIXED.aheadOf(2));
    }

    @Test
    void theLastCallWaitsForAll() {
        assertEquals(43_000, MIXED.aheadOf(QueueLevel.COUNT - 1));
        assertEquals(43_000, MIXED.totalTokens());
    }

    @Test
    void whatIsTakenAwayLeavesNothing() {
        assertEquals(ReadQueue.EMPTY, MIXED.minus(MIXED));
        assertEquals(0, ReadQueue.EMPTY.aheadOf(3));
    }

    @Test
    void itSurvivesTheWayToAnotherInstance() {
        assertEquals(MIXED, ReadQueue.of(MIXED.tokens(), MIXED.prompts()));
    }

    @Test
    void moreLevelsThanThereAreAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> ReadQueue.of(Collections.nCopies(11, 1L), List.of()));
        assertThrows(IllegalArgumentException.class, () -> ReadQueue.of(List.of(), Collections.nCopies(11, 1)));
    }
}
