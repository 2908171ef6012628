package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.usage.InstanceUsage;
import org.dogwoodwinch.usage.UsageCounter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes what this instance has counted to the platform's store, once a window. Confined to one event loop.
 *
 * <p>Failure: an instance crashes, or is cut off from the others, between counting and reporting. What it has written
 * survives; only the counts of the window under way are lost with it. Each record has the last few windows, so that the
 * next one repairs a lost write.
 */
final class UsagePublisher {

    /** One record for each start of an instance, so that a restart does not overwrite what was counted before. */
    static final String TOPIC = "keyed.usage-counts";

    private static final Logger log = LoggerFactory.getLogger(UsagePublisher.class);

    /** Calls whose response is due only some time after they began are counted late. */
    private static final long FIRST_PUBLISH_MILLIS = 700;

    /** Instances write at different moments, as the store appends one record after the other. */
    private static final long PUBLISH_SPREAD_MILLIS = 800;

    private static final long CHECK_INTERVAL_MILLIS = 500;

    /** Counts of windows that are over rarely change, so it is enough to look for late ones now and then. */
    private static final long LATE_COUNTS_INTERVAL_MILLIS = 1_500;

    private final String key;
    private final UsageCounter counter;
    private final KeyedWriter writer;
    private final TimeSource time;
    private final long windowMillis;
    private final long delayMillis;
    private InstanceUsage written;
    private boolean writePending;
    private long nextCheckMillis = Long.MIN_VALUE;

    /**
     * Creates a publisher.
     *
     * @param instance the name of this instance, not null
     * @param counter what it has counted, not null
     * @param writer writes the topic, not null
     * @param time the clock and timers, not null
     * @param windowMillis the length of a window
     */
    UsagePublisher(String instance, UsageCounter counter, KeyedWriter writer, TimeSource time, long windowMillis) {
        this.key = instance + "@" + time.wallMillis();
        this.counter = Objects.requireNonNull(counter, "counter");
        this.writer = Objects.requireNonNull(writer, "writer");
        this.time = Objects.requireNonNull(time, "time");
        this.windowMillis = windowMillis;
        this.delayMillis = FIRST_PUBLISH_MILLIS + Math.floorMod(instance.hashCode(), PUBLISH_SPREAD_MILLIS);
        this.written = counter.closedWindows(time.wallMillis());
    }

    /** Starts to write. */
    void start() {
        long nowMillis = time.monotonicMillis();
        if (nowMillis >= nextCheckMillis) {
            long windowWallMillis = time.wallMillis() - delayMillis;
            long untilNextWindowMillis = windowMillis - Math.floorMod(windowWallMillis, windowMillis);
            nextCheckMillis = nowMillis + Math.min(LATE_COUNTS_INTERVAL_MILLIS, untilNextWindowMillis);
            publishIfChanged(windowWallMillis);
        }
        time.schedule(CHECK_INTERVAL_MILLIS, this::start);
    }

    /**
     * Writes what has been counted in the window under way too, because this process ends.
     *
     * @return a stage that completes with the write
     */
    CompletionStage<Boolean> flush() {
        InstanceUsage all = counter.closedWindows(time.wallMillis() + windowMillis);
        return all.countsByWindow().isEmpty() ? CompletableFuture.completedFuture(true) : write(all);
    }

    /** Writes the last record of this instance once more, because the store may have lost it. */
    void publishAgain() {
        if (!writePending && !written.countsByWindow().isEmpty()) {
            LogEvent.of("usage_written_again")
                    .with("window", written.closedThrough())
                    .info(log);
            write(written);
        }
    }

    /**
     * Writes the windows that were over at a moment, unless they have been written as they are. An instance that has
     * become idle writes once more, so that nobody waits for its counts.
     */
    private void publishIfChanged(long wallMillis) {
        InstanceUsage closed = counter.closedWindows(wallMillis);
        boolean wasActive = !written.countsIn(written.closedThrough()).isEmpty();
        boolean hasNewCounts = !closed.countsByWindow().equals(written.countsByWindow())
                && !closed.countsByWindow().isEmpty();
        boolean hasNewWindow = closed.closedThrough() > written.closedThrough();
        if (!writePending && (hasNewCounts || (hasNewWindow && wasActive))) {
            write(closed);
        }
    }

    private CompletionStage<Boolean> write(InstanceUsage usage) {
        writePending = true;
        return writer.put(key, Optional.of(usage.encode())).thenApply(stored -> {
            writePending = false;
            if (stored) {
                written = usage;
            } else {
                nextCheckMillis = Long.MIN_VALUE;
                LogEvent.of("usage_not_written")
                        .with("window", usage.closedThrough())
                        .info(log);
            }
            return stored;
        });
    }
}
