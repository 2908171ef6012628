package org.dogwoodwinch.authority;

/** What a step of an order does beyond changing its state. */
enum OrderAction {
    /** The order goes out. */
    SEND_ORDER,
    /** The next try waits a while. */
    BACK_OFF,
    /** The order is settled as applied. */
    KEEP_SUCCESS,
    /** The order is settled as failed. */
    KEEP_FAILURE
}
