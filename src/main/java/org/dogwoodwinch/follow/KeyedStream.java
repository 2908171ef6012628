package org.dogwoodwinch.follow;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The reading side of a keyed stream in the platform's log. */
public interface KeyedStream {

    /**
     * Reads a page of the snapshot, which holds the newest record of each key.
     *
     * @param afterKey the last key of the previous page, empty for the first page, not null
     * @return a stage that completes with {@link ReadResult.Page} or {@link ReadResult.Unavailable}, never
     *     exceptionally
     */
    CompletionStage<ReadResult> readSnapshotPage(Optional<String> afterKey);

    /**
     * Reads records in order, and waits until there is at least one.
     *
     * @param fromOffset the offset of the first record to read
     * @param waitMillis the long-poll time-out: how long the platform holds the call while there is no record
     * @return a stage that completes with any result except {@link ReadResult.Page}, never exceptionally
     */
    CompletionStage<ReadResult> read(long fromOffset, long waitMillis);
}
