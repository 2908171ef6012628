package org.dogwoodwinch.follow;

import java.util.Locale;

/** The kinds of calls to the platform's store. */
public enum StoreOperation {

    /** Reads the newest record of each key. */
    SNAPSHOT,

    /** Reads records in order. */
    READ,

    /** Appends a record. */
    APPEND,

    /** Appends a record if the log ends at an expected offset. */
    CONDITIONAL_APPEND;

    /**
     * Returns the name in metrics.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
