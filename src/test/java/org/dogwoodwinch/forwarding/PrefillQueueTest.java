package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class PrefillQueueTest {

    private static final PrefillQueue MIXED = PrefillQueue.ofPrompt(0, 1_000)
            .plus(PrefillQueue.ofPrompt(2, 6_000))
            .plus(PrefillQueue.ofPrompt(4, 16_000))
            .plus(PrefillQueue.ofPrompt(5, 20_000));

    /** An engine completes the prefill that it has begun, so even the most urgent call waits for one other prompt. */
    @Test
    void urgentCallWaitsForItsLevelAndOneLaterPrompt() {
        assertEquals(1_000 + (6_000 + 16_000 + 20_000) / 3, MIXED.tokensAheadOf(0));
        assertEquals(7_000 + (16_000 + 20_000) / 2, MIXED.tokensAheadOf(2));
    }

    @Test
    void callOfLastLevelWaitsForAllPrompts() {
        assertEquals(43_000, MIXED.tokensAheadOf(QueueLevel.COUNT - 1));
        assertEquals(43_000, MIXED.totalTokens());
    }

    @Test
    void queueMinusItselfIsEmpty() {
        assertEquals(PrefillQueue.EMPTY, MIXED.minus(MIXED));
        assertEquals(0, PrefillQueue.EMPTY.tokensAheadOf(3));
    }

    @Test
    void queueIsRestoredFromItsLists() {
        assertEquals(MIXED, PrefillQueue.of(MIXED.tokens(), MIXED.prompts()));
    }

    @Test
    void tooManyLevelsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> PrefillQueue.of(Collections.nCopies(11, 1L), List.of()));
        assertThrows(IllegalArgumentException.class, () -> PrefillQueue.of(List.of(), Collections.nCopies(11, 1)));
    }
}
