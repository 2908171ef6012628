package org.dogwoodwinch.authority;

/** How far an open order is at its holder; the chart {@code order.json} says what leads where. */
enum OrderState {
    /** For its time, and for enough of the lease. */
    WAITING,
    /** Sent, without an answer so far. */
    SENDING,
    /** The engine's state is read until it shows the order. */
    CONFIRMING,
    /** The end of the order is appended until it is read back. */
    SETTLING,
    /** The end was read back. */
    SETTLED
}
