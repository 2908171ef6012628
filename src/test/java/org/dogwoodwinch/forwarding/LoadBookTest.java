package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LoadBookTest {

    private final LoadBook loadTracker = new LoadBook();

    @Test
    void callCountsUntilItEndsAndPromptUntilItIsPrefilled() {
        loadTracker.sent("t", 2, 500);
        assertEquals(new TargetLoad(1, ReadQueue.one(2, 500)), loadTracker.at("t"));

        loadTracker.read("t", 2, 500);
        assertEquals(new TargetLoad(1, ReadQueue.EMPTY), loadTracker.at("t"));

        loadTracker.ended("t");
        assertEquals(TargetLoad.EMPTY, loadTracker.at("t"));
        assertEquals(Map.of(), loadTracker.own());
    }

    /** A call that arrives with its KV cache has nothing to prefill and must not count as a waiting prompt. */
    @Test
    void callWithoutPrefillTokensAddsNoPrompt() {
        loadTracker.sent("t", 0, 0);

        assertEquals(0, loadTracker.at("t").unread().prompts().get(0));
        loadTracker.read("t", 0, 0);
        loadTracker.ended("t");
        assertEquals(TargetLoad.EMPTY, loadTracker.at("t"));
    }

    @Test
    void peerReportReplacesEarlierReport() {
        loadTracker.sent("t", 0, 10);
        loadTracker.heard(
                "peer", Map.of("t", new TargetLoad(3, ReadQueue.one(4, 900)), "u", new TargetLoad(1, ReadQueue.EMPTY)));
        loadTracker.heard("peer", Map.of("t", new TargetLoad(2, ReadQueue.one(4, 300))));

        assertEquals(new TargetLoad(3, ReadQueue.one(0, 10).plus(ReadQueue.one(4, 300))), loadTracker.at("t"));
        assertEquals(TargetLoad.EMPTY, loadTracker.at("u"));
        assertEquals(1, loadTracker.own().get("t").callsCount());
    }

    @Test
    void loadOfRemovedPeerIsSubtracted() {
        loadTracker.heard("old", Map.of("t", new TargetLoad(3, ReadQueue.EMPTY)));
        loadTracker.heard("new", Map.of("t", new TargetLoad(1, ReadQueue.EMPTY)));

        loadTracker.retainPeers(Set.of("new"));

        assertEquals(1, loadTracker.at("t").callsCount());
    }
}
