package org.dogwoodwinch.authority;

/** What one instance learns of the lease of one group. */
enum LeaseEvent {
    /** It was read that nobody holds it. */
    FREE,
    /** It was read that another holds it, or renewed it. */
    OTHERS,
    /** It was read that this instance holds it. */
    OURS,
    /** The wait before a claim is over. */
    LEASE_OVER,
    /** The log does not answer: renewals cannot be seen. */
    LOG_OUT
}
