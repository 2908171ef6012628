package org.dogwoodwinch.authority;

/** An event of an open order. */
enum OrderEvent {
    /** The order may be sent. */
    DUE,
    /** The engine accepted the order. */
    ACCEPTED,
    /** The engine refused the order and did not change its state. */
    REFUSED,
    /** The engine's answer was lost or timed out. */
    LOST,
    /** The engine's state shows the ordered configuration. */
    MATCHES,
    /** The engine's state shows that the order was not applied, or was lost in a crash. */
    DIFFERS,
    /** The time limit for completing the order has passed. */
    GIVE_UP,
    /** The order's outcome was read back from the log. */
    READ_BACK
}
