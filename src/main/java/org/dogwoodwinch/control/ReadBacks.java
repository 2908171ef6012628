package org.dogwoodwinch.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/** Answers those who wait for a record to be read back. Not thread-safe: its owner calls it under one lock. */
final class ReadBacks {

    private final Map<String, Waiting> waiting = new HashMap<>();
    private final Consumer<Runnable> later;

    /**
     * Creates the list.
     *
     * @param later runs a task soon and outside the owner's lock, so that those who wait may call back, not null
     */
    ReadBacks(Consumer<Runnable> later) {
        this.later = later;
    }

    /**
     * Waits for a record.
     *
     * @param recordId its id, not null
     * @param untilMillis when to give up, by the monotonic time
     * @return completes with what the fold made of it, or with empty once the time is over
     */
    CompletionStage<Optional<FoldedRecord>> await(String recordId, long untilMillis) {
        return waiting.computeIfAbsent(recordId, _id -> new Waiting(new CompletableFuture<>(), untilMillis))
                .answer();
    }

    /**
     * Hears that a record was read.
     *
     * @param folded the record, not null
     */
    void onFolded(FoldedRecord folded) {
        Waiting one = waiting.remove(folded.record().id());
        if (one != null) {
            later.accept(() -> one.answer().complete(Optional.of(folded)));
        }
    }

    /**
     * Answers those who have waited long enough.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    void expire(long nowMillis) {
        Iterator<Waiting> each = waiting.values().iterator();
        while (each.hasNext()) {
            Waiting one = each.next();
            if (nowMillis >= one.untilMillis()) {
                each.remove();
                later.accept(() -> one.answer().complete(Optional.empty()));
            }
        }
    }

    private record Waiting(CompletableFuture<Optional<FoldedRecord>> answer, long untilMillis) {}
}
