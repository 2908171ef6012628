package org.dogwoodwinch.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;
import org.dogwoodwinch.target.CacheEvent;

/** The newest cache events of an engine, which become visible after a lag. Not thread-safe. */
final class CacheEventLog {

    private static final int MAX_EVENTS = 4_096;

    private final LongSupplier clockMillis;
    private final long lagMillis;
    private final Deque<TimedCacheEvent> events = new ArrayDeque<>();
    private long lastSequence;

    /**
     * Creates an empty log.
     *
     * @param clockMillis monotonic milliseconds, not null
     * @param lagMillis the time after which an event is visible, in milliseconds
     */
    CacheEventLog(LongSupplier clockMillis, long lagMillis) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
        this.lagMillis = lagMillis;
    }

    /** Records that a block was stored. */
    void recordStored(long hash) {
        add(hash, true);
    }

    /** Records that a block was evicted. */
    void recordEvicted(long hash) {
        add(hash, false);
    }

    private void add(long hash, boolean stored) {
        events.addLast(new TimedCacheEvent(clockMillis.getAsLong(), new CacheEvent(++lastSequence, hash, stored)));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    /** Returns the visible events after a sequence number, in order. */
    List<CacheEvent> after(long sequence) {
        long latestMillis = clockMillis.getAsLong() - lagMillis;
        List<CacheEvent> found = new ArrayList<>();
        for (TimedCacheEvent each : events) {
            if (each.event().sequence() > sequence && each.atMillis() <= latestMillis) {
                found.add(each.event());
            }
        }
        return List.copyOf(found);
    }

    private record TimedCacheEvent(long atMillis, CacheEvent event) {}
}
