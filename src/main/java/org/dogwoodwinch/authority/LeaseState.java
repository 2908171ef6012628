package org.dogwoodwinch.authority;

/** How one instance sees the lease of one group; the chart {@code lease.json} says what leads where. */
enum LeaseState {
    /** Not looked at yet. */
    UNSEEN,
    /** Nobody holds it. */
    OPEN,
    /** Another holds it. */
    FOLLOWING,
    /** The wait is over: claims go out. */
    CLAIMING,
    /** This instance holds it by log order. */
    HOLDING
}
