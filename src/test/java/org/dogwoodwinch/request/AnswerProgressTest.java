package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.dogwoodwinch.target.AnswerChunk;
import org.junit.jupiter.api.Test;

class AnswerProgressTest {

    private final AnswerProgress progress = new AnswerProgress();

    @Test
    void skipsDeliveredTokensAndReportsGaps() {
        assertEquals(AnswerProgress.Verdict.DELIVER, progress.accept(chunk(0, "a")));
        assertEquals(AnswerProgress.Verdict.SKIP, progress.accept(chunk(0, "a")));
        assertEquals(AnswerProgress.Verdict.GAP, progress.accept(chunk(2, "c")));
        assertEquals(AnswerProgress.Verdict.DELIVER, progress.accept(chunk(1, "b")));
    }

    /** A rerun produces the same text in different chunks: only the new part must reach the caller. */
    @Test
    void withholdsTheDeliveredPrefixWhateverItsChunks() {
        progress.accept(chunk(0, "ab"));
        progress.accept(chunk(1, "cd"));
        progress.restart();
        assertEquals(AnswerProgress.Verdict.SKIP, progress.accept(chunk(0, "abc")));
        assertEquals(AnswerProgress.Verdict.DELIVER, progress.accept(chunk(1, "def")));
        assertEquals("ef", progress.pendingChunk().text());
        assertEquals(AnswerProgress.Verdict.DELIVER, progress.accept(chunk(2, "g")));
        progress.restart();
        assertEquals(AnswerProgress.Verdict.DELIVER, progress.accept(chunk(0, "abcdefgh")));
        assertEquals("h", progress.pendingChunk().text());
    }

    /** A rerun produces different text: combining both would deliver an answer that neither run produced. */
    @Test
    void reportsDivergenceWhenTheNewRunBeginsDifferently() {
        progress.accept(chunk(0, "ab"));
        progress.restart();
        assertEquals(AnswerProgress.Verdict.DIVERGED, progress.accept(chunk(0, "ax")));
    }

    private static AnswerChunk chunk(long sequence, String text) {
        return new AnswerChunk("attempt", sequence, 1, text);
    }
}
