package org.dogwoodwinch.authority;

/** The state of an open order at the group's holder; {@code order.json} defines the transitions. */
enum OrderState {
    /** Waits for the next attempt, and for a lease that covers the order's timeout. */
    WAITING,
    /** The order was sent and has not been answered. */
    SENDING,
    /** The engine's state is read until it shows the ordered configuration. */
    CONFIRMING,
    /** The outcome is appended repeatedly until it is read back from the log. */
    SETTLING,
    /** The outcome was read back from the log. */
    SETTLED
}
