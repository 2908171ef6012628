package org.dogwoodwinch.follow;

import java.util.List;
import java.util.Objects;

/** The outcome of one call that reads a keyed stream. */
public sealed interface ReadResult {

    /**
     * One page of the newest record of each key. Pages are no snapshot.
     *
     * @param records the records, not null
     * @param more whether keys after the last one are left
     * @param endOffset the end of the stream as the page was read
     */
    record Page(List<KeyedRecord> records, boolean more, long endOffset) implements ReadResult {
        /** Copies. */
        public Page {
            records = List.copyOf(records);
        }
    }

    /**
     * Records in order.
     *
     * @param records the records from the offset asked for, not null, empty where none came in time
     * @param nextOffset where the next reading goes on
     */
    record Batch(List<KeyedRecord> records, long nextOffset) implements ReadResult {
        /** Copies. */
        public Batch {
            records = List.copyOf(records);
        }
    }

    /** The records asked for are no longer kept. */
    record Expired() implements ReadResult {}

    /**
     * No usable answer.
     *
     * @param reason what happened, for logs, not null
     */
    record Unavailable(String reason) implements ReadResult {
        /** Checks. */
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
