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

    /** An engine completes the prefill that it has begun, so even the most urgent call waits for one other prompt. */
    @Test
    void urgentCallWaitsForItsLevelAndOneLaterPrompt() {
        assertEquals(1_000 + (6_000 + 16_000 + 20_000) / 3, MIXED.aheadOf(0));
        assertEquals(7_000 + (16_000 + 20_000) / 2, MIXED.aheadOf(2));
    }

    @Test
    void callOfLastLevelWaitsForAllPrompts() {
        assertEquals(43_000, MIXED.aheadOf(QueueLevel.COUNT - 1));
        assertEquals(43_000, MIXED.totalTokens());
    }

    @Test
    void queueMinusItselfIsEmpty() {
        assertEquals(ReadQueue.EMPTY, MIXED.minus(MIXED));
        assertEquals(0, ReadQueue.EMPTY.aheadOf(3));
    }

    @Test
    void queueIsRestoredFromItsLists() {
        assertEquals(MIXED, ReadQueue.of(MIXED.tokens(), MIXED.prompts()));
    }

    @Test
    void tooManyLevelsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> ReadQueue.of(Collections.nCopies(11, 1L), List.of()));
        assertThrows(IllegalArgumentException.class, () -> ReadQueue.of(List.of(), Collections.nCopies(11, 1)));
    }
}
