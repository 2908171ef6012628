package org.dogwoodwinch.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** Answers those who wait for a record to be read back. Not thread-safe: its owner calls it under one lock. */
final class PendingRecords {

    private final Map<String, PendingRecord> pendingById = new HashMap<>();
    private final Consumer<Runnable> executor;

    /**
     * Creates the list.
     *
     * @param executor runs a task soon and outside the owner's lock, so that those who wait may call back, not null
     */
    PendingRecords(Consumer<Runnable> executor) {
        this.executor = executor;
    }

    /**
     * Waits for a record.
     *
     * @param recordId its id, not null
     * @param deadlineMillis when to give up, by the monotonic time
     * @return completes with what the fold made of it, or with empty once the time is over
     */
    CompletionStage<Optional<FoldedRecord>> await(String recordId, long deadlineMillis) {
        return pendingById
                .computeIfAbsent(recordId, _id -> new PendingRecord(new CompletableFuture<>(), deadlineMillis))
                .future();
    }

    /**
     * Hears that a record was read.
     *
     * @param applied the record, not null
     */
    void onApplied(FoldedRecord applied) {
        PendingRecord pendingRecord = pendingById.remove(applied.record().id());
        if (pendingRecord != null) {
            executor.accept(() -> pendingRecord.future().complete(Optional.of(applied)));
        }
    }

    /**
     * Answers those who have waited long enough.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    void expire(long nowMillis) {
        Iterator<PendingRecord> iterator = pendingById.values().iterator();
        while (iterator.hasNext()) {
            PendingRecord pendingRecord = iterator.next();
            if (nowMillis >= pendingRecord.deadlineMillis()) {
                iterator.remove();
                executor.accept(() -> pendingRecord.future().complete(Optional.empty()));
            }
        }
    }

    private record PendingRecord(CompletableFuture<Optional<FoldedRecord>> future, long deadlineMillis) {}
}
