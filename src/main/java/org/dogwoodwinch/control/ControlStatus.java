package org.dogwoodwinch.control;

import java.util.Objects;

/**
 * How far an instance has read the control stream.
 *
 * @param instance the instance's name, not null
 * @param catalogueRevision the revision in force here; -1 where there is none
 * @param coveredOffset the last offset folded in; -1 before the first
 * @param endOffset where the stream ended at the log's last answer; -1 before the first answer
 * @param caughtUp whether the state has been as new as the log since the start or the last gap
 * @param logOut whether the log did not answer the last read
 * @param appendCount how many records this instance has tried to append since it started
 */
public record ControlStatus(
        String instance,
        long catalogueRevision,
        long coveredOffset,
        long endOffset,
        boolean caughtUp,
        boolean logOut,
        long appendCount) {

    /** Checks the parts. */
    public ControlStatus {
        Objects.requireNonNull(instance, "instance");
    }
}
