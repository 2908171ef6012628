package org.dogwoodwinch.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class LineLayoutTest {

    private static LoggingEvent event(String time, Throwable cause) {
        LoggingEvent event = new LoggingEvent(
                "caller",
                new LoggerContext().getLogger("org.dogwoodwinch.relay.LoggingReport"),
                Level.INFO,
                "event=x",
                cause,
                null);
        event.setInstant(Instant.parse(time));
        return event;
    }

    @Test
    void aLineTellsTimeLevelAndLogger() {
        assertEquals(
                "time=2026-03-04T05:06:07.008Z level=INFO logger=LoggingReport event=x\n",
                new LineLayout().doLayout(event("2026-03-04T05:06:07.008Z", null)));
    }

    @Test
    void timesOfAllSizesAreSpelledOut() {
        for (String time :
                new String[] {"1969-12-31T23:59:59.999Z", "1970-01-01T00:00:00.000Z", "2031-10-11T12:13:14.150Z"}) {
            assertTrue(new LineLayout().doLayout(event(time, null)).startsWith("time=" + time + " "));
        }
    }

    @Test
    void anExceptionFollowsInLinesOfItsOwn() {
        String text = new LineLayout().doLayout(event("2026-03-04T05:06:07.008Z", new IllegalStateException("why")));

        assertTrue(text.contains("event=x\njava.lang.IllegalStateException: why\n"), text);
        assertTrue(text.endsWith("\n") && !text.contains("\n\n"), text);
    }
}
