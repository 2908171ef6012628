package org.dogwoodwinch.authority;

/** An action on a transition of the order state chart. */
enum OrderAction {
    /** Sends the order. */
    SEND_ORDER,
    /** Delays the next attempt. */
    BACK_OFF,
    /** Records that the order was applied. */
    KEEP_SUCCESS,
    /** Records that the order failed. */
    KEEP_FAILURE
}
