package org.dogwoodwinch.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class LogEventTest {

    @Test
    void plainValuesAreWrittenBare() {
        assertEquals(
                "event=answered request=r-1 tokens=12",
                LogEvent.of("answered")
                        .with("request", "r-1")
                        .with("tokens", 12)
                        .toString());
    }

    @Test
    void emptyAndNullValuesStayVisible() {
        assertEquals(
                "event=e a=\"\" b=null",
                LogEvent.of("e").with("a", "").with("b", null).toString());
    }

    @Property(seed = "7")
    void noValueForgesAFieldOrASecondLine(@ForAll String value) {
        String line = LogEvent.of("e").with("k", value).toString();
        assertFalse(line.contains("\n"));
        String rest = line.substring("event=e k=".length());
        assertTrue(rest.startsWith("\"") || !rest.contains(" "));
    }
}
