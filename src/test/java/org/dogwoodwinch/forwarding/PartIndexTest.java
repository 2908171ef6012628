package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class PartIndexTest {

    private static final Prompt PROMPT = new Prompt(
            "m", 600, 10, List.of(new PromptPart("a", 100), new PromptPart("b", 200), new PromptPart("c", 300)));

    private final PartIndex index = new PartIndex();

    @Test
    void segmentCountsOnlyIfAllEarlierSegmentsAreCached() {
        index.kept("e", "b", 200);
        assertEquals(0, index.keptTokens("e", PROMPT));

        index.kept("e", "a", 100);
        assertEquals(300, index.keptTokens("e", PROMPT));
        assertEquals(0, index.keptTokens("other", PROMPT));
    }

    @Test
    void prefixEndsAtPartlyCachedSegment() {
        index.read("e", PROMPT);
        index.kept("e", "b", 64);

        assertEquals(164, index.keptTokens("e", PROMPT));
    }

    @Test
    void evictedSegmentAndRemovedEngineCacheNothing() {
        index.read("e", PROMPT);
        index.kept("e", "a", 0);
        assertEquals(0, index.keptTokens("e", PROMPT));

        index.read("e", PROMPT);
        index.forget("e");
        assertEquals(0, index.keptTokens("e", PROMPT));
    }
}
