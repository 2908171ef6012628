package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class KvCacheIndexTest {

    private static final Prompt PROMPT = new Prompt(
            "m",
            600,
            10,
            List.of(new PromptSegment("a", 100), new PromptSegment("b", 200), new PromptSegment("c", 300)));

    private final KvCacheIndex index = new KvCacheIndex();

    @Test
    void segmentCountsOnlyIfAllEarlierSegmentsAreCached() {
        index.setCachedTokens("e", "b", 200);
        assertEquals(0, index.cachedPrefixTokens("e", PROMPT));

        index.setCachedTokens("e", "a", 100);
        assertEquals(300, index.cachedPrefixTokens("e", PROMPT));
        assertEquals(0, index.cachedPrefixTokens("other", PROMPT));
    }

    @Test
    void prefixEndsAtPartlyCachedSegment() {
        index.recordPrefill("e", PROMPT);
        index.setCachedTokens("e", "b", 64);

        assertEquals(164, index.cachedPrefixTokens("e", PROMPT));
    }

    @Test
    void evictedSegmentAndRemovedEngineCacheNothing() {
        index.recordPrefill("e", PROMPT);
        index.setCachedTokens("e", "a", 0);
        assertEquals(0, index.cachedPrefixTokens("e", PROMPT));

        index.recordPrefill("e", PROMPT);
        index.removeEngine("e");
        assertEquals(0, index.cachedPrefixTokens("e", PROMPT));
    }
}
