package org.dogwoodwinch.time;

import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The runtime's own clocks, with timers on a given executor. */
public final class SystemTimeSource implements TimeSource {

    private static final Logger log = LoggerFactory.getLogger(SystemTimeSource.class);

    private final ScheduledExecutorService executor;

    /**
     * Creates a time source.
     *
     * @param executor runs the timers, not null; its owner shuts it down
     */
    public SystemTimeSource(ScheduledExecutorService executor) {
        this.executor = Objects.requireNonNull(executor, "executor");
    }

    /**
     * Reads the runtime's monotonic clock, for the other time sources of daemons.
     *
     * @return nanoseconds since an arbitrary origin of this process
     */
    public static long runtimeNanos() {
        return System.nanoTime();
    }

    /**
     * Reads the runtime's time of day, for the other time sources of daemons.
     *
     * @return milliseconds since 1970-01-01T00:00:00Z
     */
    public static long runtimeWallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public long monotonicNanos() {
        return runtimeNanos();
    }

    @Override
    public long wallMillis() {
        return runtimeWallMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        Objects.requireNonNull(task, "task");
        ScheduledFuture<?> future =
                executor.schedule(() -> runLogged(task), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    /** An executor swallows what a task throws into a future nobody reads: the symptom would be a timer that stops. */
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.error("event=timer_failed", e);
        }
    }
}
