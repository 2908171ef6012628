package org.dogwoodwinch.follow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The newest consecutive records of a stream that an instance has read or received, for followers that are a few records
 * behind. Records that only repeat the state of their key may be missing between the others. Not thread-safe.
 */
final class StreamBacklog {

    private final int maxRecords;
    private final Deque<KeyedRecord> records = new ArrayDeque<>();
    private long firstOffset = -1;
    private long endOffset = -1;

    /**
     * Creates an empty backlog.
     *
     * @param maxRecords the number of records that are kept, the newest ones
     */
    StreamBacklog(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /**
     * Adds the records of a range. A range that ends within the known one adds nothing; one that begins after the known
     * one replaces it, since the records between them are unknown.
     *
     * @param added the records in order, not null
     * @param addedFirstOffset the offset at which the range begins
     * @param addedEndOffset the offset after the range
     */
    void add(List<KeyedRecord> added, long addedFirstOffset, long addedEndOffset) {
        if (addedEndOffset <= endOffset) {
            return;
        }
        if (addedFirstOffset > endOffset || firstOffset < 0) {
            records.clear();
            firstOffset = addedFirstOffset;
        }
        for (KeyedRecord record : added) {
            if (record.offset() >= endOffset) {
                records.addLast(record);
            }
        }
        while (records.size() > maxRecords) {
            firstOffset = records.removeFirst().offset() + 1;
        }
        endOffset = addedEndOffset;
    }

    /** Forgets all records. */
    void clear() {
        records.clear();
        firstOffset = -1;
        endOffset = -1;
    }

    /**
     * Returns the records from an offset on.
     *
     * @param fromOffset the offset
     * @return the records, with the end of the known range as the next offset; empty if the range does not contain the
     *     offset
     */
    Optional<ReadResult> read(long fromOffset) {
        if (firstOffset < 0 || !endsAfter(fromOffset) || firstOffset > fromOffset) {
            return Optional.empty();
        }
        return Optional.of(new ReadResult.Batch(recordsFrom(fromOffset), endOffset));
    }

    /** Returns the records whose offset is not below another one. */
    List<KeyedRecord> recordsFrom(long fromOffset) {
        return records.stream().filter(record -> record.offset() >= fromOffset).toList();
    }

    /** Returns whether there are known records, or known gaps, at or after an offset. */
    boolean endsAfter(long offset) {
        return offset < endOffset;
    }

    /** Returns the offset after the known range; -1 without one. */
    long endOffset() {
        return endOffset;
    }

    /** Returns the offset at which the known range begins; -1 without one. */
    long firstOffset() {
        return firstOffset;
    }
}
