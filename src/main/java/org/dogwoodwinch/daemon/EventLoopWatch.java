package org.dogwoodwinch.daemon;

import io.netty.util.concurrent.Future;
import java.util.Objects;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process when its event loops have ended, so that the platform starts it again.
 *
 * <p>Failure: an error, such as a full heap, gets out of the only event loop and ends its thread. The process stays with
 * its sockets open and answers nobody, since all of its work, also a graceful stop, runs on that thread.
 */
final class EventLoopWatch {

    private static final Logger log = LoggerFactory.getLogger(EventLoopWatch.class);

    private final Future<?> loopsEnded;
    private final Runnable endProcess;

    /**
     * Creates a watch that does nothing before {@link #start}.
     *
     * @param loopsEnded completes when no event loop runs any more, not null
     * @param endProcess ends the process at once, not null
     */
    EventLoopWatch(Future<?> loopsEnded, Runnable endProcess) {
        this.loopsEnded = Objects.requireNonNull(loopsEnded, "loopsEnded");
        this.endProcess = Objects.requireNonNull(endProcess, "endProcess");
    }

    /** Starts to watch. */
    void start() {
        loopsEnded.addListener(_ended -> {
            LogEvent.of("event_loops_ended").warn(log);
            endProcess.run();
        });
    }
}
