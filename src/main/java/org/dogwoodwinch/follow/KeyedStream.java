package org.dogwoodwinch.follow;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** A keyed stream of the platform's log, as it is read. */
public interface KeyedStream {

    /**
     * Reads a page of the newest record of each key.
     *
     * @param afterKey the last key of the page before, empty for the first page, not null
     * @return completes with {@link ReadResult.Page} or {@link ReadResult.Unavailable}, never exceptionally
     */
    CompletionStage<ReadResult> newest(Optional<String> afterKey);

    /**
     * Reads records in order, waiting for the first one.
     *
     * @param fromOffset the first offset wanted
     * @param waitMillis how long the platform holds the call while there is none
     * @return completes with any result but {@link ReadResult.Page}, never exceptionally
     */
    CompletionStage<ReadResult> read(long fromOffset, long waitMillis);
}
