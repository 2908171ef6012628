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

    private final String writerId;
    private final Deque<ClaimRecord> queue = new ArrayDeque<>();
    private final Map<Long, List<ClaimRecord>> unconfirmed = new HashMap<>();
    private long nextBatchNumber;

    ClaimOutbox(String writerId) {
        this.writerId = writerId;
    }

    void add(ClaimRecord entry) {
        queue.addLast(entry);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Takes the next batch; the caller says afterwards what became of it. */
    ClaimBatch takeBatch() {
        List<ClaimRecord> records = new ArrayList<>();
        while (!queue.isEmpty() && records.size() < MAX_RECORDS) {
            records.add(queue.removeFirst());
        }
        ClaimBatch batch = new ClaimBatch(ClaimBatch.VERSION, writerId, nextBatchNumber++, records);
        // From now on: the stream can show the batch before the append's answer is there.
        unconfirmed.put(batch.number(), batch.records());
        return batch;
    }

    void requeue(List<ClaimRecord> records) {
        for (int i = records.size() - 1; i >= 0; i--) {
            queue.addFirst(records.get(i));
        }
    }

    /** The batch is on the stream, or certainly is not and was put back. */
    void onResolved(ClaimBatch batch) {
        unconfirmed.remove(batch.number());
    }

    /** Sends again what has not been seen. */
    void requeueUnconfirmed(long batchNumber) {
        List<ClaimRecord> records = unconfirmed.remove(batchNumber);
        if (records != null) {
            requeue(records);
        }
    }

    /**
     * Takes back a claim that has not been appended yet.
     *
     * @return false where it is on its way, or may be on the log
     */
    boolean removeQueuedClaim(String claimId) {
        return queue.removeIf(
                entry -> entry instanceof ClaimRecord.Claimed && entry.claimId().equals(claimId));
    }

    /** Drops a claim from batches that would be sent again. */
    void removeUnconfirmedClaim(String claimId) {
        unconfirmed.replaceAll((_batch, records) -> records.stream()
                .filter(entry -> !(entry instanceof ClaimRecord.Claimed
                        && entry.claimId().equals(claimId)))
                .toList());
    }
}
