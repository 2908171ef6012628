package org.dogwoodwinch.follow;

import java.util.Set;

/**
 * Receives the records and connection changes of a followed stream. Calls arrive in an order in which each record can
 * be applied as it comes.
 */
public interface StreamListener {

    /**
     * Called for each record that was read. The same record can arrive twice, and so can an older record of its key.
     *
     * @param record the record, not null
     */
    void onRecord(KeyedRecord record);

    /**
     * Called when a snapshot read completes. A key that is not listed and whose records lie before the end offset no
     * longer exists.
     *
     * @param keys all keys in the snapshot, not null
     * @param endOffset the end offset of the stream when the snapshot read began
     */
    void onSnapshotComplete(Set<String> keys, long endOffset);

    /**
     * Called before the first snapshot of a new era of the store, which has come back from a copy. The copy lacks what
     * was written last, and much of that is written again within seconds: what the snapshot lacks is not a deletion yet,
     * and what it holds may be older than what is known.
     */
    default void onStoreCameBack() {}

    /** Called when a read succeeds after a series of failed reads. */
    void onReconnected();

    /**
     * Called for the first failed read of a series.
     *
     * @param reason the cause of the failure, not null
     */
    void onDisconnected(String reason);
}
