package org.dogwoodwinch.history;

/** Takes the events of a run; safe to call from many threads. */
@FunctionalInterface
public interface HistoryRecorder {

    /** Keeps nothing; for a daemon that no history was asked of. */
    HistoryRecorder NONE = _event -> {};

    /**
     * Takes an event.
     *
     * @param event the event, not null
     */
    void record(HistoryEvent event);
}
