package org.dogwoodwinch.relay;

/** The outcome of an order to an engine. */
public enum OrderOutcome {
    /** The engine accepted the order or is in the ordered stage already. */
    TAKEN,
    /** The engine refused the order because another one is under way or its state is not the expected one. */
    REFUSED,
    /** The engine has seen a higher fencing token, so another instance holds the lease. */
    FENCED,
    /** No response was received; the order may have been accepted or may still be carried out. */
    UNKNOWN
}
