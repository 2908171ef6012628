package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import java.util.function.Supplier;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.TimeSource;

/** Reads the claims stream from its oldest retained record on. Shares a lock with its claim store. */
final class ClaimStreamReader {

    private static final int MAX_RECORDS_PER_READ = 500;
    private static final long READ_WAIT_MILLIS = 1_000;
    private static final long READ_RETRY_MILLIS = 200;
    private static final int UNAVAILABLE_AFTER_FAILED_READS = 2;

    private final LogService logService;
    private final TimeSource time;
    private final Object lock;
    private final Function<LogRecord, List<Runnable>> onRecord;
    private final Supplier<List<Runnable>> onUnavailable;
    private long nextOffset;
    private int consecutiveFailedReads;
    private boolean stopped;

    /**
     * Creates a reader, which reads once {@link #readNext()} is called.
     *
     * @param logService the platform's log, not null
     * @param time the clock and timers, not null
     * @param lock guards the reader and its claim store, not null
     * @param onRecord processes a record while the lock is held, and returns callbacks that are run after it is
     *     released, not null
     * @param onUnavailable the same after each failed read while the log is unavailable, not null
     */
    ClaimStreamReader(
            LogService logService,
            TimeSource time,
            Object lock,
            Function<LogRecord, List<Runnable>> onRecord,
            Supplier<List<Runnable>> onUnavailable) {
        this.logService = Objects.requireNonNull(logService, "logService");
        this.time = Objects.requireNonNull(time, "time");
        this.lock = Objects.requireNonNull(lock, "lock");
        this.onRecord = Objects.requireNonNull(onRecord, "onRecord");
        this.onUnavailable = Objects.requireNonNull(onUnavailable, "onUnavailable");
    }

    /** Stops reading; must be called while the lock is held. */
    void stop() {
        stopped = true;
    }

    /** Returns whether the stream is being read and the log answers; must be called while the lock is held. */
    boolean isAvailable() {
        return !stopped && consecutiveFailedReads < UNAVAILABLE_AFTER_FAILED_READS;
    }

    /** Reads the next records, and continues until {@link #stop()}; must be called without the lock. */
    void readNext() {
        long fromOffset;
        synchronized (lock) {
            if (stopped) {
                return;
            }
            fromOffset = nextOffset;
        }
        logService
                .read(LogClaimStore.STREAM_NAME, fromOffset, MAX_RECORDS_PER_READ, READ_WAIT_MILLIS)
                .whenComplete((result, fault) -> onRead(
                        result != null
                                ? result
                                : new ReadResult.Unavailable("read of the claims stream failed: " + fault)));
    }

    private void onRead(ReadResult result) {
        List<Runnable> callbacks = new ArrayList<>();
        boolean failed;
        synchronized (lock) {
            failed = result instanceof ReadResult.Unavailable;
            if (result instanceof ReadResult.Records records) {
                records.records().forEach(each -> {
                    nextOffset = each.offset() + 1;
                    callbacks.addAll(onRecord.apply(each));
                });
            } else if (result instanceof ReadResult.Expired expired) {
                // Expired records are older than the key retention, which the settings keep below the log's retention.
                nextOffset = expired.firstRetainedOffset();
            }
            consecutiveFailedReads = failed ? consecutiveFailedReads + 1 : 0;
            if (consecutiveFailedReads >= UNAVAILABLE_AFTER_FAILED_READS) {
                callbacks.addAll(onUnavailable.get());
            }
        }
        callbacks.forEach(Runnable::run);
        if (failed) {
            time.schedule(READ_RETRY_MILLIS, this::readNext);
        } else {
            readNext();
        }
    }
}
