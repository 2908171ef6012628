package org.dogwoodwinch.time;

/**
 * The one source of time and timers, injected everywhere.
 *
 * <p>Daemons use {@link SystemTimeSource}; tests, history checks and trace replay use {@link VirtualTimeSource}, which
 * they pause and advance. Code outside this package never reads the runtime's clock.
 */
public interface TimeSource {

    /**
     * Returns the monotonic time, which never goes back and is unrelated to the time of day.
     *
     * <p>Leases, deadlines and time-outs are counted on it: a wall clock that jumps must not lengthen a lease.
     *
     * @return nanoseconds since an arbitrary origin of this process
     */
    long monotonicNanos();

    /**
     * Returns the time of day; it may jump either way and is only for people and for records that outlive a process.
     *
     * @return milliseconds since 1970-01-01T00:00:00Z
     */
    long wallMillis();

    /**
     * Runs a task once after a delay.
     *
     * @param delayMillis the delay in milliseconds; zero or less runs the task as soon as possible, never inline
     * @param task the task, not null; what it throws is logged and goes no further
     * @return a handle that stops the task if it has not started
     */
    Cancellable schedule(long delayMillis, Runnable task);

    /**
     * Returns the monotonic time in milliseconds.
     *
     * @return milliseconds since an arbitrary origin of this process
     */
    default long monotonicMillis() {
        return Math.floorDiv(monotonicNanos(), 1_000_000L);
    }
}
