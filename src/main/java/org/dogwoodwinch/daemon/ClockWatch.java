package org.dogwoodwinch.daemon;

import java.util.Objects;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that the machine was suspended: the monotonic clock does not count that time, the time of day does.
 *
 * <p>Failure: after a suspension kept connections look fresh, though their peers closed them long ago, and calls sent on
 * them may or may not have run. A jump of the time of day alone looks the same; connections dropped for nothing cost a
 * handshake each.
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

    /** Compares the clocks from now on. */
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
