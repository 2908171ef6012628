package org.dogwoodwinch.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/**
 * Tracks appended records until they are read back from the log. Not thread-safe: its owner calls it under one lock.
 */
final class PendingRecords {

    private final Map<String, PendingRecord> pendingById = new HashMap<>();
    private final Consumer<Runnable> executor;

    /**
     * Creates an empty set of pending records.
     *
     * @param executor runs tasks asynchronously and outside the owner's lock, so that completed futures may call back
     *     into the owner, not null
     */
    PendingRecords(Consumer<Runnable> executor) {
        this.executor = executor;
    }

    /**
     * Waits for a record to be read back from the log.
     *
     * @param recordId the id of the record, not null
     * @param deadlineMillis the monotonic time at which the wait times out, in milliseconds
     * @return completes with the applied record, or with empty after a timeout
     */
    CompletionStage<Optional<AppliedRecord>> await(String recordId, long deadlineMillis) {
        return pendingById
                .computeIfAbsent(recordId, _id -> new PendingRecord(new CompletableFuture<>(), deadlineMillis))
                .future();
    }

    /**
     * Completes the wait for a record that was read back.
     *
     * @param applied the record and whether it was accepted, not null
     */
    void onApplied(AppliedRecord applied) {
        PendingRecord pendingRecord = pendingById.remove(applied.record().id());
        if (pendingRecord != null) {
            executor.accept(() -> pendingRecord.future().complete(Optional.of(applied)));
        }
    }

    /**
     * Completes the waits whose deadline has passed.
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

    private record PendingRecord(CompletableFuture<Optional<AppliedRecord>> future, long deadlineMillis) {}
}
