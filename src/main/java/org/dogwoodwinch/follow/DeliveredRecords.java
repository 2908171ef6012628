package org.dogwoodwinch.follow;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The records that a follower has received: the newest one of each key, and up to which moment they are complete. Not
 * thread-safe.
 */
final class DeliveredRecords {

    private final Map<String, KeyedRecord> newest = new LinkedHashMap<>();
    private final StreamCoverage coverage = new StreamCoverage();
    private final StoreAvailability availability;
    private StreamReading lastReading = StreamReading.NONE;
    private long endOffset = -1;
    private boolean hasSnapshot;

    /**
     * Creates a holder of no records.
     *
     * @param availability tells when the store last came back, not null
     */
    DeliveredRecords(StoreAvailability availability) {
        this.availability = availability;
    }

    /** Records where the stream ended at a moment, in monotonic milliseconds. */
    void recordEnd(long streamEndOffset, long asOfMillis) {
        coverage.recordEnd(streamEndOffset, asOfMillis);
    }

    /**
     * Records the result of a read when it is delivered to the follower, so that snapshots for other instances match what
     * the follower received.
     *
     * @param result the result, not null
     * @param source where it comes from, not null
     * @return the result
     */
    ReadResult addResult(ReadResult result, StreamReading.Source source) {
        if (result instanceof ReadResult.Batch batch) {
            addBatch(batch, source);
        } else if (!(result instanceof ReadResult.Unavailable)) {
            discard();
        }
        return result;
    }

    private void addBatch(ReadResult.Batch batch, StreamReading.Source source) {
        beginReading(source);
        batch.records().forEach(this::add);
        endOffset = Math.max(endOffset, batch.nextOffset());
        coverage.recordDelivered(endOffset);
    }

    /** Adds a page of a snapshot. Later pages keep the reading of the first one, whose end offset is the snapshot's. */
    void addPage(boolean isFirst, ReadResult.Page page, StreamReading.Source source, long asOfMillis) {
        if (isFirst) {
            beginReading(source);
            newest.clear();
            endOffset = page.endOffset();
            coverage.recordEnd(endOffset, asOfMillis);
        }
        page.records().forEach(this::add);
        hasSnapshot = !page.hasMore();
        if (hasSnapshot) {
            coverage.recordDelivered(endOffset);
        }
    }

    /** Records that the follower cannot continue from these records and reads a snapshot. */
    private void discard() {
        hasSnapshot = false;
    }

    private void beginReading(StreamReading.Source source) {
        lastReading = new StreamReading(source, coverage.coveredMillis(), availability.returnedMillis());
    }

    private void add(KeyedRecord record) {
        if (record.value().isPresent()) {
            newest.put(record.key(), record);
        } else {
            newest.remove(record.key());
        }
    }

    /** Returns the newest record of each key; empty before a complete snapshot was delivered. */
    Optional<List<KeyedRecord>> snapshot() {
        return hasSnapshot ? Optional.of(List.copyOf(newest.values())) : Optional.empty();
    }

    /** Returns the offset after the last delivered record; -1 before any. */
    long endOffset() {
        return endOffset;
    }

    /** Returns the moment before which every acknowledged record has been delivered. */
    long coveredMillis() {
        return coverage.coveredMillis();
    }

    /** Returns what is known of the records that were delivered last. */
    StreamReading lastReading() {
        return lastReading;
    }
}
