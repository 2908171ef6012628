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
     */
    record Batch(List<KeyedRecord> records, long nextOffset) implements ReadResult {
        /** Copies the records. */
        public Batch {
            records = List.copyOf(records);
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
