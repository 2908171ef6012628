package org.dogwoodwinch.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queues records for the claims stream and tracks batches whose append is not confirmed yet. Not thread-safe.
 *
 * <p>If the reply to an append is lost, the batch is neither dropped nor appended again at once: its records are queued
 * again later, and only if the batch has not been read back from the stream by then. A duplicate append is harmless,
 * because {@link ClaimIndex} ignores it.
 */
final class ClaimOutbox {

    private static final int MAX_RECORDS = 512;

    private final String writerId;
    private final Deque<ClaimRecord> queue = new ArrayDeque<>();
    private final Map<Long, List<ClaimRecord>> unconfirmedBatches = new HashMap<>();
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

    /** Removes the next batch from the queue; the caller must report the result of its append afterwards. */
    ClaimBatch takeBatch() {
        List<ClaimRecord> records = new ArrayList<>();
        while (!queue.isEmpty() && records.size() < MAX_RECORDS) {
            records.add(queue.removeFirst());
        }
        ClaimBatch batch = new ClaimBatch(ClaimBatch.VERSION, writerId, nextBatchNumber++, records);
        // Registered before the append, because the batch can be read back before the reply to the append arrives.
        unconfirmedBatches.put(batch.number(), batch.records());
        return batch;
    }

    void requeue(List<ClaimRecord> records) {
        for (int i = records.size() - 1; i >= 0; i--) {
            queue.addFirst(records.get(i));
        }
    }

    /** Called when the batch is known to be on the stream, or is known not to be and its records are queued again. */
    void onResolved(ClaimBatch batch) {
        unconfirmedBatches.remove(batch.number());
    }

    /** Queues the records of a batch again unless the batch was confirmed in the meantime. */
    void requeueUnconfirmed(long batchNumber) {
        List<ClaimRecord> records = unconfirmedBatches.remove(batchNumber);
        if (records != null) {
            requeue(records);
        }
    }

    /**
     * Removes a claim from the queue if it is not part of a batch yet.
     *
     * @return false if the claim is being appended or may already be on the log
     */
    boolean removeQueuedClaim(String claimId) {
        return queue.removeIf(
                entry -> entry instanceof ClaimRecord.Claimed && entry.claimId().equals(claimId));
    }

    /** Removes a claim from the unconfirmed batches, so that it is not appended again. */
    void removeUnconfirmedClaim(String claimId) {
        unconfirmedBatches.replaceAll((_batch, records) -> records.stream()
                .filter(entry -> !(entry instanceof ClaimRecord.Claimed
                        && entry.claimId().equals(claimId)))
                .toList());
    }
}
