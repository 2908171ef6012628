package org.dogwoodwinch.relay;

/** What became of an order. */
public enum OrderOutcome {
    /** It is carried out, or holds already. */
    TAKEN,
    /** The engine refused it: another order is under way, or its state is not the expected one. */
    REFUSED,
    /** The engine knows a higher fencing token: the lease is another instance's. */
    FENCED,
    /** No answer: it may have been taken, or be carried out later. */
    UNKNOWN
}
