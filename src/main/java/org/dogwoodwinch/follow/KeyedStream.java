package org.dogwoodwinch.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
     * Sets what is called when records arrive that no read is waiting for. A stream that has records only by being read
     * calls nothing.
     *
     * @param listener called after the records are there to be read, not null
     */
    default void onRecordsArrived(Runnable listener) {}

    /**
     * Reads all pages of the snapshot.
     *
     * @return a stage that completes with one {@link ReadResult.Page} that has the records of all pages and the end offset
     *     of the first one, so that what is appended meanwhile shows as a change, or with {@link ReadResult.Unavailable};
     *     never exceptionally
     */
    default CompletionStage<ReadResult> readSnapshot() {
        return readSnapshotPage(Optional.empty())
                .thenCompose(first -> first instanceof ReadResult.Page page
                        ? readFurtherPages(page)
                        : CompletableFuture.completedFuture(first));
    }

    private CompletionStage<ReadResult> readFurtherPages(ReadResult.Page before) {
        if (!before.hasMore() || before.records().isEmpty()) {
            return CompletableFuture.completedFuture(before);
        }
        KeyedRecord last = before.records().get(before.records().size() - 1);
        return readSnapshotPage(Optional.of(last.key())).thenCompose(read -> {
            if (!(read instanceof ReadResult.Page next)) {
                return CompletableFuture.completedFuture(read);
            }
            List<KeyedRecord> records = new ArrayList<>(before.records());
            records.addAll(next.records());
            boolean hasMore = next.hasMore() && !next.records().isEmpty();
            return readFurtherPages(new ReadResult.Page(records, hasMore, before.endOffset()));
        });
    }

    /**
     * Reads records in order, and waits until there is at least one.
     *
     * @param fromOffset the offset of the first record to read
     * @param waitMillis the long-poll time-out: how long the platform holds the call while there is no record
     * @return a stage that completes with any result except {@link ReadResult.Page}, never exceptionally
     */
    CompletionStage<ReadResult> read(long fromOffset, long waitMillis);
}
