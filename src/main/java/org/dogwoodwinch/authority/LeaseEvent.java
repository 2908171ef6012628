package org.dogwoodwinch.authority;

/** An event of the lease of one group, as observed by one instance. */
enum LeaseEvent {
    /** According to the log, the group has no holder. */
    FREE,
    /** According to the log, another process holds or has renewed the lease. */
    OTHERS,
    /** According to the log, this instance holds the lease. */
    OURS,
    /** The wait before a claim has ended. */
    LEASE_OVER,
    /** The log is unavailable, so renewals cannot be read. */
    LOG_OUT
}
