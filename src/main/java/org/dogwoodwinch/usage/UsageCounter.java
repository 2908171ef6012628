package org.dogwoodwinch.usage;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Counts the calls of each owner that began to run, by windows of the wall clock. Holds the newest windows only. Not
 * thread-safe.
 */
public final class UsageCounter {

    /**
     * Windows that ended within this time are published with each record. A later write so repairs a lost one, and an
     * outage of the store that is no longer loses no counts.
     */
    private static final long RETENTION_MILLIS = 30_000;

    private final long windowMillis;
    private final long retainedWindows;
    private final TreeMap<Long, Map<String, Long>> countsByWindow = new TreeMap<>();

    /**
     * Creates a counter without calls.
     *
     * @param windowMillis the length of a window, at least 1 ms; windows are numbered from the start of 1970
     * @throws IllegalArgumentException if the length is not positive
     */
    public UsageCounter(long windowMillis) {
        if (windowMillis <= 0) {
            throw new IllegalArgumentException("window must be at least 1 ms long, not " + windowMillis);
        }
        this.windowMillis = windowMillis;
        this.retainedWindows = 1 + RETENTION_MILLIS / windowMillis;
    }

    /**
     * Returns the window of a moment.
     *
     * @param wallMillis milliseconds since 1970
     * @return the window's number
     */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Counts a call.
     *
     * @param owner the owner's name, not null
     * @param startedWallMillis when the call began to run, in milliseconds since 1970
     */
    public void recordStart(String owner, long startedWallMillis) {
        Objects.requireNonNull(owner, "owner");
        countsByWindow
                .computeIfAbsent(windowAt(startedWallMillis), _window -> new TreeMap<>())
                .merge(owner, 1L, Long::sum);
        while (countsByWindow.size() > retainedWindows + 1) {
            countsByWindow.pollFirstEntry();
        }
    }

    /**
     * Returns what has been counted in all windows that are over.
     *
     * @param wallMillis now, in milliseconds since 1970
     * @return the newest windows before the current one
     */
    public InstanceUsage closedWindows(long wallMillis) {
        long current = windowAt(wallMillis);
        Map<Long, Map<String, Long>> closed = new TreeMap<>();
        countsByWindow.headMap(current).forEach((window, counts) -> {
            if (window >= current - retainedWindows) {
                closed.put(window, new TreeMap<>(counts));
            }
        });
        return new InstanceUsage(current - 1, closed);
    }
}
