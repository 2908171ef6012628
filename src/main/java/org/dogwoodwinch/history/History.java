package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The events of one run in order of time; events of the same millisecond keep the order in which they were recorded.
 *
 * @param events the events, not null
 */
public record History(List<HistoryEvent> events) {

    /** Sorts and copies the list. */
    public History {
        events = events.stream()
                .sorted(Comparator.comparingLong(HistoryEvent::atMillis))
                .toList();
    }

    /**
     * Returns the events of one kind.
     *
     * @param kind the kind, not null
     * @param <T> the kind
     * @return the events in order
     */
    public <T extends HistoryEvent> Stream<T> of(Class<T> kind) {
        return events.stream().filter(kind::isInstance).map(kind::cast);
    }

    /**
     * Returns when the first event happened.
     *
     * @return milliseconds; zero where there is none
     */
    public long startMillis() {
        return events.isEmpty() ? 0 : events.get(0).atMillis();
    }

    /**
     * Returns when the last event happened.
     *
     * @return milliseconds; zero where there is none
     */
    public long endMillis() {
        return events.isEmpty() ? 0 : events.get(events.size() - 1).atMillis();
    }

    /**
     * Puts the histories of several processes of one run together.
     *
     * @param parts the histories, not null
     * @return the whole
     */
    public static History merge(List<History> parts) {
        List<HistoryEvent> all = new ArrayList<>();
        parts.forEach(part -> all.addAll(part.events()));
        return new History(all);
    }
}
