package org.dogwoodwinch.authority;

/** The state of one group's lease as one instance sees it; {@code lease.json} defines the transitions. */
enum LeaseState {
    /** Not observed yet. */
    UNSEEN,
    /** The group has no holder. */
    OPEN,
    /** Another process holds the lease. */
    FOLLOWING,
    /** The wait has ended and this instance appends claims. */
    CLAIMING,
    /** This instance holds the lease by log order. */
    HOLDING
}
