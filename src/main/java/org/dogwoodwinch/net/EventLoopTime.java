package org.dogwoodwinch.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.SystemTimeSource;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads the JVM's clocks and runs all timers on one event loop, so that state used only there needs no lock. */
public final class EventLoopTime implements TimeSource {

    private static final Logger log = LoggerFactory.getLogger(EventLoopTime.class);

    private final EventLoop loop;

    /**
     * Creates a time source.
     *
     * @param loop the event loop that runs the timers, not null
     */
    public EventLoopTime(EventLoop loop) {
        this.loop = Objects.requireNonNull(loop, "loop");
    }

    @Override
    public long monotonicNanos() {
        return SystemTimeSource.runtimeNanos();
    }

    @Override
    public long wallMillis() {
        return SystemTimeSource.runtimeWallMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        ScheduledFuture<?> future =
                loop.schedule(() -> runLoggingFailure(task), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
        return () -> future.cancel(false);
    }

    /** Logs the failure of a timer task, since no code reads the task's future and the failure would go unnoticed. */
    private static void runLoggingFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LogEvent.of("timer_failed").with("error", e).warn(log);
            throw e;
        }
    }
}
