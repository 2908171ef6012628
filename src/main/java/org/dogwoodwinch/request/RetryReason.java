package org.dogwoodwinch.request;

import java.util.Locale;

/** All reasons for which a request is retried or its stream is resumed. */
public enum RetryReason {
    /** No byte reached the target. */
    NOT_SENT,
    /** The target refused because it is shutting down. */
    TARGET_LEAVING,
    /** The target refused without running the request. */
    TARGET_REFUSED,
    /** The connection broke, and the request may run again. */
    CONNECTION_BROKEN,
    /** The target did not answer in time, and the request may run again. */
    TARGET_TIMED_OUT,
    /** The target failed, and the request may run again. */
    TARGET_FAILED,
    /** An interrupted stream was resumed at the point of the interruption. */
    STREAM_RESUMED;

    /**
     * Returns the stable name used in metrics.
     *
     * @return the name in lower case with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
