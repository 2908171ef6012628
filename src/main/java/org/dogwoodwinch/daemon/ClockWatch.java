package org.dogwoodwinch.daemon;

import java.util.Objects;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that the machine was suspended, by comparing the monotonic clock, which stops during a suspension, with the
 * wall clock, which does not.
 *
 * <p>Failure: after a suspension, pooled connections seem recently used although the remote ends closed them long ago,
 * and it is unknown whether a call sent on one of them has run. A step of the wall clock alone cannot be distinguished
 * from a suspension; the connections that are then closed needlessly cost one handshake each.
 */
final class ClockWatch {

    private static final Logger log = LoggerFactory.getLogger(ClockWatch.class);

    private final TimeSource time;
    private final long checkIntervalMillis;
    private final long jumpThresholdMillis;
    private final Runnable onJump;
    private long lastMonotonicMillis;
    private long lastWallMillis;

    ClockWatch(TimeSource time, long checkIntervalMillis, long jumpThresholdMillis, Runnable onJump) {
        this.time = Objects.requireNonNull(time, "time");
        this.checkIntervalMillis = checkIntervalMillis;
        this.jumpThresholdMillis = jumpThresholdMillis;
        this.onJump = Objects.requireNonNull(onJump, "onJump");
    }

    /** Starts comparing the clocks periodically. */
    void start() {
        lastMonotonicMillis = time.monotonicMillis();
        lastWallMillis = time.wallMillis();
        time.schedule(checkIntervalMillis, this::check);
    }

    private void check() {
        long monotonicMillis = time.monotonicMillis();
        long wallMillis = time.wallMillis();
        long differenceMillis = (wallMillis - lastWallMillis) - (monotonicMillis - lastMonotonicMillis);
        lastMonotonicMillis = monotonicMillis;
        lastWallMillis = wallMillis;
        if (Math.abs(differenceMillis) > jumpThresholdMillis) {
            LogEvent.of("clocks_jumped").with("apartMillis", differenceMillis).warn(log);
            onJump.run();
        }
        time.schedule(checkIntervalMillis, this::check);
    }
}
