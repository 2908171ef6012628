package org.dogwoodwinch.control;

import java.util.Objects;

/**
 * The read position of an instance on the control stream and the state of its connection to the log.
 *
 * @param instance the name of the instance, not null
 * @param catalogueRevision the catalogue revision in force on the instance; -1 if there is none
 * @param coveredOffset the last offset that the instance has applied; -1 before the first record
 * @param endOffset the end offset of the stream as of the last answer of the log; -1 before the first answer
 * @param caughtUp whether the state has reached the end of the log since the start or since the last expiry of unread
 *     records
 * @param logOut whether the last read of the log failed
 * @param appendCount the number of records that the instance has tried to append since it started
 */
public record ControlStatus(
        String instance,
        long catalogueRevision,
        long coveredOffset,
        long endOffset,
        boolean caughtUp,
        boolean logOut,
        long appendCount) {

    /** Validates the components. */
    public ControlStatus {
        Objects.requireNonNull(instance, "instance");
    }
}
