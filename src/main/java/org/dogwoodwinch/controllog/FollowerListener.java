package org.dogwoodwinch.controllog;

import org.dogwoodwinch.external.ReadResult;

/** Receives what a {@link LogFollower} reads. Calls are never concurrent. */
public interface FollowerListener {

    /**
     * Receives the next records in offset order. The list is empty if the log has no record yet at the requested
     * offset.
     *
     * @param records the records, not null
     */
    void onRecords(ReadResult.Records records);

    /**
     * Called when records expired from the log before they were read. After this method returns, the follower continues
     * at the oldest retained record.
     *
     * @param expired the range that the log still retains, not null
     */
    void onExpired(ReadResult.Expired expired);

    /**
     * Called when a read failed or timed out. The follower retries the read.
     *
     * @param detail a description of the failure, not null
     */
    void onUnavailable(String detail);
}
