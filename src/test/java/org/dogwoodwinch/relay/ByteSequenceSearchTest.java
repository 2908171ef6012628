package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ByteSequenceSearchTest {

    private static final List<String> SEQUENCES = List.of("a", "aa", "aab", "abab", "abaabab", ": a2\r\n");
    private static final List<String> TEXTS = List.of(
            "", "a", "aaab", "ababab", "abaabaabab", "abaabaaba", "x: a1\r\n: a2\r\n", "\r\n: : a2\r\n", ": a2\r");

    @Test
    void sequenceIsFoundHoweverTheBytesAreSplit() {
        for (String sequence : SEQUENCES) {
            for (String text : TEXTS) {
                for (int cut = 0; cut <= text.length(); cut++) {
                    ByteSequenceSearch search = new ByteSequenceSearch(sequence.getBytes(StandardCharsets.US_ASCII));
                    search.find(Unpooled.copiedBuffer(text.substring(0, cut), StandardCharsets.US_ASCII));
                    boolean found = search.find(Unpooled.copiedBuffer(text.substring(cut), StandardCharsets.US_ASCII));
                    assertEquals(text.contains(sequence), found, sequence + " in " + text + " cut at " + cut);
                }
            }
        }
    }
}
