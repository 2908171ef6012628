package org.dogwoodwinch.controllog;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Reads one stream of the log continuously from a given offset, with one outstanding read at a time.
 *
 * <p>It has no thread of its own: reads complete on the threads of the log client, and timers of the {@link TimeSource}
 * start the next read. Thread-safe.
 */
public final class LogFollower {

    private final LogService log;
    private final FollowerSettings settings;
    private final TimeSource time;
    private final FollowerListener listener;
    private long nextOffset;
    /** Incremented by each read and each stop, so that a late answer to an abandoned read is recognised and dropped. */
    private long generation;

    private boolean running;
    /** False for the first read, so that a starting instance gets the end offset of the log without a long poll. */
    private boolean longPolling;

    private Cancellable readTimeout = () -> {};

    /**
     * Creates a follower. It reads nothing until {@link #start(long)} is called.
     *
     * @param log the log to read, not null
     * @param settings the stream and the timing of its reads, not null
     * @param time runs the timers, not null
     * @param listener receives the records, not null
     */
    public LogFollower(LogService log, FollowerSettings settings, TimeSource time, FollowerListener listener) {
        this.log = Objects.requireNonNull(log, "log");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.time = Objects.requireNonNull(time, "time");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Starts reading, or restarts from another offset. The answer to a read in progress is dropped.
     *
     * @param fromOffset the first offset to read
     */
    public synchronized void start(long fromOffset) {
        running = true;
        longPolling = false;
        nextOffset = fromOffset;
        scheduleRead(0);
    }

    /** Stops reading. The listener is not called after this method returns. Further calls have no effect. */
    public synchronized void stop() {
        running = false;
        generation++;
        readTimeout.cancel();
    }

    /**
     * Returns the offset of the next read.
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
        // A network partition can drop the answer without an error. Without this timeout the instance would receive no
        // further edit. Reading is idempotent, so an unanswered read is repeated.
        readTimeout =
                time.schedule(settings.waitMillis() + settings.answerMillis(), () -> onReadTimeout(expectedGeneration));
        log.read(settings.stream(), nextOffset, settings.maxRecords(), longPolling ? settings.waitMillis() : 0)
                .whenComplete((result, failure) -> onAnswer(expectedGeneration, startedMillis, result, failure));
    }

    private synchronized void onReadTimeout(long expectedGeneration) {
        if (running && generation == expectedGeneration) {
            listener.onUnavailable("read timed out without an answer");
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
        // The listener may have stopped this follower or restarted it at another offset.
        if (running && generation == expectedGeneration) {
            scheduleRead(delayMillis);
        }
    }

    private long onRecords(ReadResult.Records result, long startedMillis) {
        List<LogRecord> records = result.records();
        if (records.isEmpty() && result.endOffset() < nextOffset) {
            return onUnavailable("the log ends at offset " + result.endOffset() + ", before the next offset to read");
        }
        if (!records.isEmpty()) {
            nextOffset = records.get(records.size() - 1).offset() + 1;
        }
        longPolling = true;
        listener.onRecords(result);
        // A service without long polling answers immediately. Reading again without a delay would be a busy loop.
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
