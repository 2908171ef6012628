package org.dogwoodwinch.follow;

import java.util.Set;

/** Hears what a followed stream says, in the order in which it may be believed. */
public interface FollowListener {

    /**
     * A record was read. One read twice, or an older one of its key, may come.
     *
     * @param record the record, not null
     */
    void record(KeyedRecord record);

    /**
     * A full reading ended: what it covers and did not list is gone.
     *
     * @param keys all keys listed, not null
     * @param endOffset the end of the stream as the reading began
     */
    void readWhole(Set<String> keys, long endOffset);

    /** Calls are answered again after some that were not. */
    void regained();

    /**
     * A call was not answered, the first of a series.
     *
     * @param reason what happened, not null
     */
    void lost(String reason);
}
