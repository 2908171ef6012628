package org.dogwoodwinch.catalogue;

/**
 * The class of work of a catalogue entry; determines the queue order, early refusal and the share reserved for long
 * reads.
 */
public enum WorkClass {
    /**
     * Bookings and dispatch: an answer after the deadline has no value; a planned change never aborts such a request.
     */
    URGENT,
    /** Ordinary requests, whose deadline may be exceeded slightly. */
    STANDARD,
    /** Long reads: the deadline is not significant, but each request must complete eventually. */
    LONG_READ
}
