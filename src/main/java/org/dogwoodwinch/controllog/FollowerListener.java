package org.dogwoodwinch.controllog;

import org.dogwoodwinch.external.ReadResult;

/** Hears what a {@link LogFollower} reads; calls come one at a time. */
public interface FollowerListener {

    /**
     * Takes the records that come next; the list is empty where the service answered that there is none yet.
     *
     * @param records the records, not null
     */
    void onRecords(ReadResult.Records records);

    /**
     * Hears that records were lost to retention before they were read here. The follower goes on at the oldest record
     * that is retained, once this method has returned.
     *
     * @param expired where the retained records begin, not null
     */
    void onExpired(ReadResult.Expired expired);

    /**
     * Hears that the service did not answer; the follower tries again.
     *
     * @param detail what went wrong, not null
     */
    void onUnavailable(String detail);
}
