package org.dogwoodwinch.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.dogwoodwinch.history.AttemptEvent;
import org.dogwoodwinch.history.MemoryRecorder;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class HistoryEngineObserverTest {

    @Test
    void aRunIsTracedToItsRequestByTheMarkerInThePrompt() {
        MemoryRecorder history = new MemoryRecorder();
        new HistoryEngineObserver(new VirtualTimeSource(7), history).onExecuted("e1", "a1", "Sum up [request=r-5]");
        assertEquals(
                List.of(new AttemptEvent.Executed(7, "e1", "a1", "r-5")),
                history.history().events());
    }

    @Test
    void aPromptWithoutTheMarkerIsNobodys() {
        assertEquals("", HistoryEngineObserver.requestId("Sum up"));
    }
}
