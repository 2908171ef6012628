package org.dogwoodwinch.request;

import java.util.Locale;

/** Every reason for which an attempt is followed by another. */
public enum RetryReason {
    /** No byte reached the target. */
    NOT_SENT,
    /** The target refused because it is leaving. */
    TARGET_LEAVING,
    /** The target refused without running the request. */
    TARGET_REFUSED,
    /** The connection broke and the request may be repeated. */
    CONNECTION_BROKEN,
    /** The target did not answer in time and the request may be repeated. */
    TARGET_TIMED_OUT,
    /** The target failed and the request may be repeated. */
    TARGET_FAILED,
    /** A cut stream was joined again where it was cut. */
    STREAM_RESUMED;

    /**
     * Returns the stable name that counters show.
     *
     * @return the name in lower case with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
