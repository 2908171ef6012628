package org.dogwoodwinch.standin.http;

import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.time.TimeSource;

/** An instance list that shows each change after a lag. Thread-safe. */
public final class StandInInstanceList {

    private final TimeSource time;
    private final long lagMillis;
    private final SortedMap<String, ListedInstance> lines = new TreeMap<>();

    /**
     * Creates an empty list.
     *
     * @param time runs the lag, not null
     * @param lagMillis how late changes show, in milliseconds; zero for at once
     */
    public StandInInstanceList(TimeSource time, long lagMillis) {
        this.time = Objects.requireNonNull(time, "time");
        this.lagMillis = lagMillis;
    }

    /**
     * Returns what the list shows.
     *
     * @return the lines in order of name
     */
    public synchronized List<ListedInstance> shown() {
        return List.copyOf(lines.values());
    }

    /**
     * Puts a line in, in place of the one of the same name.
     *
     * @param line the line, not null
     */
    public void put(ListedInstance line) {
        afterLag(() -> putNow(line));
    }

    /**
     * Takes a line out.
     *
     * @param name its name, not null
     */
    public void remove(String name) {
        afterLag(() -> removeNow(name));
    }

    private void afterLag(Runnable change) {
        if (lagMillis <= 0) {
            change.run();
        } else {
            time.schedule(lagMillis, change);
        }
    }

    private synchronized void putNow(ListedInstance line) {
        lines.put(line.name(), line);
    }

    private synchronized void removeNow(String name) {
        lines.remove(name);
    }
}
