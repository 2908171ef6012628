package org.dogwoodwinch.follow;

import java.util.List;
import java.util.Objects;

/** The result of one read of a keyed stream. */
public sealed interface ReadResult {

    /**
     * One page with the newest record of each key. The pages of one read do not form a consistent snapshot.
     *
     * @param records the records, not null
     * @param hasMore whether there are keys after the last one of this page
     * @param endOffset the end offset of the stream when the page was read
     */
    record Page(List<KeyedRecord> records, boolean hasMore, long endOffset) implements ReadResult {
        /** Copies the records. */
        public Page {
            records = List.copyOf(records);
        }
    }

    /**
     * Consecutive records.
     *
     * @param records the records from the requested offset on, not null, empty if none arrived before the time-out
     * @param nextOffset the offset at which the next read continues
     * @param endOffset the end offset of the stream when the records were read; beyond the next offset if the answer was
     *     cut at its size
     */
    record Batch(List<KeyedRecord> records, long nextOffset, long endOffset) implements ReadResult {
        /** Copies the records. */
        public Batch {
            records = List.copyOf(records);
        }

        /**
         * Creates a batch that ends with the stream.
         *
         * @param records the records from the requested offset on, not null
         * @param nextOffset the end offset of the stream
         */
        public Batch(List<KeyedRecord> records, long nextOffset) {
            this(records, nextOffset, nextOffset);
        }

        /** Returns whether the stream went on behind the records when they were read. */
        boolean isCut() {
            return nextOffset < endOffset;
        }
    }

    /** The requested records are no longer retained. */
    record Expired() implements ReadResult {}

    /**
     * The read failed or its reply was unusable.
     *
     * @param reason the cause, for logs, not null
     */
    record Unavailable(String reason) implements ReadResult {
        /** Checks that the reason is not null. */
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
