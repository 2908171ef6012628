package org.dogwoodwinch.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.time.TimeSource;

/**
 * Appends records to the claims stream in batches. Only one append is in progress at a time; records that arrive in the
 * meantime form the next batch, so that batches grow as the log slows down.
 *
 * <p>Shares a lock with its claim store. All package-private methods must be called while the lock is held.
 */
final class ClaimAppender {

    private static final long UNKNOWN_APPEND_RETRY_MILLIS = 500;

    private final LogService logService;
    private final TimeSource time;
    private final long batchWindowMillis;
    private final Object lock;
    private final ClaimOutbox outbox;
    private final Predicate<ClaimRecord> isStillNeeded;
    private final RefusalListener refusalListener;
    private boolean appendInProgress;
    private boolean flushScheduled;

    /**
     * Creates an appender without records.
     *
     * @param logService the platform's log, not null
     * @param time the clock and timers, not null
     * @param batchWindowMillis how long the first record of a batch waits for further ones, in milliseconds
     * @param lock guards the appender and its claim store, not null
     * @param outbox the empty queue of records, not null; the caller must not use it afterwards
     * @param isStillNeeded tests whether a record whose append was refused is appended again; called while the lock is
     *     held, not null
     * @param refusalListener is notified of refused appends, not null
     */
    ClaimAppender(
            LogService logService,
            TimeSource time,
            long batchWindowMillis,
            Object lock,
            ClaimOutbox outbox,
            Predicate<ClaimRecord> isStillNeeded,
            RefusalListener refusalListener) {
        this.logService = Objects.requireNonNull(logService, "logService");
        this.time = Objects.requireNonNull(time, "time");
        this.batchWindowMillis = batchWindowMillis;
        this.lock = Objects.requireNonNull(lock, "lock");
        this.outbox = Objects.requireNonNull(outbox, "outbox");
        this.isStillNeeded = Objects.requireNonNull(isStillNeeded, "isStillNeeded");
        this.refusalListener = Objects.requireNonNull(refusalListener, "refusalListener");
    }

    /** Is notified when the log refuses an append. */
    @FunctionalInterface
    interface RefusalListener {

        /**
         * Processes a refusal, while the lock is held.
         *
         * @param refused the refusal, not null
         * @param nextAppendMillis when the records are appended again, in monotonic milliseconds
         * @return callbacks that are run after the lock is released, not null
         */
        List<Runnable> onRefused(AppendResult.Refused refused, long nextAppendMillis);
    }

    /** Queues a record for the next batch. */
    void append(ClaimRecord entry) {
        outbox.add(entry);
        scheduleFlush(batchWindowMillis);
    }

    /** Removes a claim that is not acted on, so that it is not appended from now on. */
    void discardClaim(String claimId) {
        outbox.removeQueuedClaim(claimId);
        outbox.removeUnconfirmedClaim(claimId);
    }

    /** Called when a batch of this writer was read back from the stream. */
    void onReadBack(ClaimBatch batch) {
        outbox.onResolved(batch);
    }

    private void scheduleFlush(long delayMillis) {
        if (!flushScheduled && !appendInProgress) {
            flushScheduled = true;
            time.schedule(delayMillis, this::flush);
        }
    }

    private void flush() {
        ClaimBatch batch;
        synchronized (lock) {
            flushScheduled = false;
            if (appendInProgress || outbox.isEmpty()) {
                return;
            }
            appendInProgress = true;
            batch = outbox.takeBatch();
        }
        logService
                .append(LogClaimStore.STREAM_NAME, ClaimCodec.encode(batch))
                .whenComplete((result, fault) -> onAppended(
                        batch,
                        result != null
                                ? result
                                : new AppendResult.Unknown("append to the claims stream failed: " + fault)));
    }

    private void onAppended(ClaimBatch batch, AppendResult result) {
        List<Runnable> callbacks = new ArrayList<>();
        synchronized (lock) {
            appendInProgress = false;
            long nextFlushMillis = batchWindowMillis;
            if (!(result instanceof AppendResult.Unknown)) {
                outbox.onResolved(batch);
            }
            if (result instanceof AppendResult.Refused refused) {
                outbox.requeue(batch.records().stream().filter(isStillNeeded).toList());
                nextFlushMillis = Math.max(batchWindowMillis, refused.retryAfterMillis());
                callbacks.addAll(refusalListener.onRefused(refused, time.monotonicMillis() + nextFlushMillis));
            } else if (result instanceof AppendResult.Unknown) {
                time.schedule(UNKNOWN_APPEND_RETRY_MILLIS, () -> retryUnknownAppend(batch.number()));
            }
            if (!outbox.isEmpty()) {
                scheduleFlush(nextFlushMillis);
            }
        }
        callbacks.forEach(Runnable::run);
    }

    private void retryUnknownAppend(long batchNumber) {
        synchronized (lock) {
            outbox.requeueUnconfirmed(batchNumber);
            if (!outbox.isEmpty()) {
                scheduleFlush(0);
            }
        }
    }
}
