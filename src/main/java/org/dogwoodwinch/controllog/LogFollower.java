package org.dogwoodwinch.controllog;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Reads one stream of the log from an offset on, for as long as it runs, with one read outstanding at a time.
 *
 * <p>It has no thread: reads complete on the log client's threads and timers of the {@link TimeSource} start the next.
 * Thread-safe.
 */
public final class LogFollower {

    private final LogService log;
    private final FollowerSettings settings;
    private final TimeSource time;
    private final FollowerListener listener;
    private long nextOffset;
    /** Grows with each read and each stop, so that the answer to a read that was given up is known and dropped. */
    private long generation;

    private boolean running;
    /** The first read does not wait, so that a starter learns at once where the log ends. */
    private boolean longPolling;

    private Cancellable readTimeout = () -> {};

    /**
     * Creates a follower that does not run yet.
     *
     * @param log the log, not null
     * @param settings what and how to read, not null
     * @param time runs the timers, not null
     * @param listener hears the records, not null
     */
    public LogFollower(LogService log, FollowerSettings settings, TimeSource time, FollowerListener listener) {
        this.log = Objects.requireNonNull(log, "log");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.time = Objects.requireNonNull(time, "time");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Starts to read, or starts again from another offset; a read that is under way is forgotten.
     *
     * @param fromOffset the first offset wanted
     */
    public synchronized void start(long fromOffset) {
        running = true;
        longPolling = false;
        nextOffset = fromOffset;
        scheduleRead(0);
    }

    /** Stops; the listener hears nothing more once this returns, and a second call has no effect. */
    public synchronized void stop() {
        running = false;
        generation++;
        readTimeout.cancel();
    }

    /**
     * Returns the next offset to be read.
     *
     * @return the offset
     */
    public synchronized long nextOffset() {
        return nextOffset;
    }

    private void scheduleRead(long delayMillis) {
        long expectedGeneration = ++generation;
        readTimeout.cancel();
        time.schedule(delayMillis, () -> read(expectedGeneration));
    }

    private synchronized void read(long expectedGeneration) {
        if (!running || generation != expectedGeneration) {
            return;
        }
        long startedMillis = time.monotonicMillis();
        // A partition can swallow the answer for good; the symptom would be an instance that never hears of an edit
        // again. Reading twice is harmless, so a read without an answer is simply made anew.
        readTimeout =
                time.schedule(settings.waitMillis() + settings.answerMillis(), () -> onReadTimeout(expectedGeneration));
        log.read(settings.stream(), nextOffset, settings.maxRecords(), longPolling ? settings.waitMillis() : 0)
                .whenComplete((result, failure) -> onAnswer(expectedGeneration, startedMillis, result, failure));
    }

    private synchronized void onReadTimeout(long expectedGeneration) {
        if (running && generation == expectedGeneration) {
            listener.onUnavailable("no answer to a read");
            scheduleRead(settings.retryMillis());
        }
    }

    private synchronized void onAnswer(
            long expectedGeneration, long startedMillis, ReadResult result, Throwable failure) {
        if (!running || generation != expectedGeneration) {
            return;
        }
        if (failure != null) {
            listener.onUnavailable(failure.toString());
            scheduleRead(settings.retryMillis());
            return;
        }
        long delayMillis = result.match(
                records -> onRecords(records, startedMillis),
                this::onExpired,
                unavailable -> onUnavailable(unavailable.detail()));
        // The listener may have stopped this follower, or started it elsewhere.
        if (running && generation == expectedGeneration) {
            scheduleRead(delayMillis);
        }
    }

    private long onRecords(ReadResult.Records result, long startedMillis) {
        List<LogRecord> records = result.records();
        if (records.isEmpty() && result.endOffset() < nextOffset) {
            return onUnavailable("the log ends at " + result.endOffset() + ", before what was read of it");
        }
        if (!records.isEmpty()) {
            nextOffset = records.get(records.size() - 1).offset() + 1;
        }
        longPolling = true;
        listener.onRecords(result);
        // A service that does not hold reads open answers at once; reading on without a pause would be a busy loop.
        boolean answeredEarly = records.isEmpty() && time.monotonicMillis() - startedMillis < settings.retryMillis();
        return answeredEarly ? settings.retryMillis() : 0;
    }

    private long onExpired(ReadResult.Expired expired) {
        listener.onExpired(expired);
        nextOffset = Math.max(nextOffset, expired.firstRetainedOffset());
        return 0;
    }

    private long onUnavailable(String detail) {
        listener.onUnavailable(detail);
        return settings.retryMillis();
    }
}
