package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventFramerTest {

    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nweight: 3\nid:3\ndata: c\n\n";

    private static String feed(EventFramer framer, String text) {
        byte[] completeEvents = framer.append(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return new String(completeEvents, StandardCharsets.UTF_8);
    }

    /** However the bytes are fragmented in transit, each event is emitted complete and once. */
    @Property(seed = "4711", tries = 300)
    void anyFragmentationYieldsSameEvents(@ForAll @Size(max = 12) List<@IntRange(min = 0, max = 70) Integer> cuts) {
        EventFramer framer = new EventFramer(Optional.empty());
        StringBuilder out = new StringBuilder();
        int from = 0;
        for (int cut : cuts.stream().sorted().toList()) {
            int to = Math.min(cut, STREAM.length());
            String completeEvents = feed(framer, STREAM.substring(from, Math.max(from, to)));
            assertTrue(completeEvents.isEmpty() || completeEvents.endsWith("\n"));
            out.append(completeEvents);
            from = Math.max(from, to);
        }
        out.append(feed(framer, STREAM.substring(from)));
        assertEquals(STREAM, out.toString());
        assertEquals(Optional.of("3"), framer.lastEventId());
        assertFalse(framer.isInsideEvent());
    }

    @Test
    void eventIdCountsOnlyAfterCompleteEvent() {
        EventFramer framer = new EventFramer(Optional.of("7"));

        assertEquals("", feed(framer, "id: 8\ndata: x\n"));
        assertEquals(Optional.of("7"), framer.lastEventId());
        assertTrue(framer.isInsideEvent());

        framer.beginResponse();
        assertEquals("id: 8\n\n", feed(framer, "id: 8\n\n"));
        assertEquals(Optional.of("8"), framer.lastEventId());
    }
}
