package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.List;

/** Keeps the events in memory, for failure tests. */
public final class MemoryRecorder implements HistoryRecorder {

    private final List<HistoryEvent> events = new ArrayList<>();

    @Override
    public synchronized void record(HistoryEvent event) {
        events.add(event);
    }

    /**
     * Returns what was recorded so far.
     *
     * @return the history
     */
    public synchronized History history() {
        return new History(events);
    }
}
