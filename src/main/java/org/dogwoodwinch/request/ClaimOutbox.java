package org.dogwoodwinch.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records on their way to the claims stream, and batches that are not known to be on it. Not thread-safe.
 *
 * <p>A batch whose answer was lost is neither given up nor sent again at once: its records go back into the queue only
 * where the stream, read past that point, does not show it. A second landing is harmless, the fold ignores it.
 */
final class ClaimOutbox {

    private static final int MAX_RECORDS = 512;

    private final String writer;
    private final Deque<ClaimRecord> queue = new ArrayDeque<>();
    private final Map<Long, List<ClaimRecord>> unconfirmed = new HashMap<>();
    private long nextBatch;

    ClaimOutbox(String writer) {
        this.writer = writer;
    }

    void add(ClaimRecord entry) {
        queue.addLast(entry);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Takes the next batch; the caller says afterwards what became of it. */
    ClaimBatch next() {
        List<ClaimRecord> records = new ArrayList<>();
        while (!queue.isEmpty() && records.size() < MAX_RECORDS) {
            records.add(queue.removeFirst());
        }
        ClaimBatch batch = new ClaimBatch(ClaimBatch.VERSION, writer, nextBatch++, records);
        // From now on: the stream can show the batch before the append's answer is there.
        unconfirmed.put(batch.batch(), batch.records());
        return batch;
    }

    void putBack(List<ClaimRecord> records) {
        for (int i = records.size() - 1; i >= 0; i--) {
            queue.addFirst(records.get(i));
        }
    }

    /** The batch is on the stream, or certainly is not and was put back. */
    void onDecided(ClaimBatch batch) {
        unconfirmed.remove(batch.batch());
    }

    /** Sends again what has not been seen. */
    void retryUnconfirmed(long batch) {
        List<ClaimRecord> records = unconfirmed.remove(batch);
        if (records != null) {
            putBack(records);
        }
    }

    /**
     * Takes back a claim that has not been appended yet.
     *
     * @return false where it is on its way, or may be on the log
     */
    boolean takeBack(String claimId) {
        return queue.removeIf(
                entry -> entry instanceof ClaimRecord.Claimed && entry.claimId().equals(claimId));
    }

    /** Drops a claim from batches that would be sent again. */
    void dropUnconfirmed(String claimId) {
        unconfirmed.replaceAll((_batch, records) -> records.stream()
                .filter(entry -> !(entry instanceof ClaimRecord.Claimed
                        && entry.claimId().equals(claimId)))
                .toList());
    }
}
