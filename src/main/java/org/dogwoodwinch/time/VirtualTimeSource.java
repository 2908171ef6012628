package org.dogwoodwinch.time;

import java.util.Comparator;
import java.util.Objects;
import java.util.PriorityQueue;

/**
 * A clock that stands still until it is advanced, with timers that run inside {@link #advanceMillis(long)}.
 *
 * <p>Timers run in order of due time, then of scheduling, on the advancing thread, so that a run repeats exactly. Not
 * thread-safe.
 */
public final class VirtualTimeSource implements TimeSource {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueMillis).thenComparingLong(Timer::sequence));
    private long nowMillis;
    private long wallOffsetMillis;
    private long nextSequence;

    /**
     * Creates a clock that stands at zero monotonic time.
     *
     * @param wallMillis the time of day at the start, in milliseconds since 1970
     */
    public VirtualTimeSource(long wallMillis) {
        this.wallOffsetMillis = wallMillis;
    }

    @Override
    public long monotonicNanos() {
        return nowMillis * NANOS_PER_MILLI;
    }

    @Override
    public long wallMillis() {
        return wallOffsetMillis + nowMillis;
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        Objects.requireNonNull(task, "task");
        Timer timer = new Timer(nowMillis + Math.max(0, delayMillis), nextSequence++, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    /**
     * Moves the clock on and runs every timer that falls due on the way, at its own due time.
     *
     * @param millis how far, in milliseconds, zero or more
     * @throws IllegalArgumentException if {@code millis} is negative
     */
    public void advanceMillis(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("millis must not be negative: " + millis);
        }
        long endMillis = nowMillis + millis;
        while (!timers.isEmpty() && timers.peek().dueMillis() <= endMillis) {
            Timer timer = timers.remove();
            nowMillis = Math.max(nowMillis, timer.dueMillis());
            timer.task().run();
        }
        nowMillis = endMillis;
    }

    /**
     * Moves to the next due timer and runs it.
     *
     * @return whether there was a timer
     */
    public boolean runNext() {
        if (timers.isEmpty()) {
            return false;
        }
        Timer timer = timers.remove();
        nowMillis = Math.max(nowMillis, timer.dueMillis());
        timer.task().run();
        return true;
    }

    /**
     * Makes the time of day jump; monotonic time and timers are unaffected.
     *
     * @param millis how far, in milliseconds, either way
     */
    public void jumpWallMillis(long millis) {
        wallOffsetMillis += millis;
    }

    /** Identity equality is wanted: two timers of one due time and task are still two timers. */
    private static final class Timer {

        private final long dueMillis;
        private final long sequence;
        private final Runnable task;

        Timer(long dueMillis, long sequence, Runnable task) {
            this.dueMillis = dueMillis;
            this.sequence = sequence;
            this.task = task;
        }

        long dueMillis() {
            return dueMillis;
        }

        long sequence() {
            return sequence;
        }

        Runnable task() {
            return task;
        }
    }
}
