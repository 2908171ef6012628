package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LoadBookTest {

    private final LoadBook book = new LoadBook();

    @Test
    void aSendIsCountedUntilItsPromptIsReadAndUntilItEnds() {
        book.sent("t", 2, 500);
        assertEquals(new TargetLoad(1, ReadQueue.one(2, 500)), book.at("t"));

        book.read("t", 2, 500);
        assertEquals(new TargetLoad(1, ReadQueue.EMPTY), book.at("t"));

        book.ended("t");
        assertEquals(TargetLoad.EMPTY, book.at("t"));
        assertEquals(Map.of(), book.own());
    }

    /** A call whose memory is brought along has nothing to read and does not stand in the queue of those that have. */
    @Test
    void aCallWithNothingToReadIsNoPrompt() {
        book.sent("t", 0, 0);

        assertEquals(0, book.at("t").unread().prompts().get(0));
        book.read("t", 0, 0);
        book.ended("t");
        assertEquals(TargetLoad.EMPTY, book.at("t"));
    }

    @Test
    void whatAPeerTellsReplacesWhatItToldBefore() {
        book.sent("t", 0, 10);
        book.heard(
                "peer", Map.of("t", new TargetLoad(3, ReadQueue.one(4, 900)), "u", new TargetLoad(1, ReadQueue.EMPTY)));
        book.heard("peer", Map.of("t", new TargetLoad(2, ReadQueue.one(4, 300))));

        assertEquals(new TargetLoad(3, ReadQueue.one(0, 10).plus(ReadQueue.one(4, 300))), book.at("t"));
        assertEquals(TargetLoad.EMPTY, book.at("u"));
        assertEquals(1, book.own().get("t").callsCount());
    }

    @Test
    void aPeerThatIsSilentCountsNoMore() {
        book.heard("old", Map.of("t", new TargetLoad(3, ReadQueue.EMPTY)));
        book.heard("new", Map.of("t", new TargetLoad(1, ReadQueue.EMPTY)));

        book.retainPeers(Set.of("new"));

        assertEquals(1, book.at("t").callsCount());
    }
}
