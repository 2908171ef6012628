package org.dogwoodwinch.catalogue;

/** The class of work of a catalogue entry; it decides order, early refusal and the floor kept for long reads. */
public enum WorkClass {
    /** Bookings and dispatch: worth nothing after the deadline; a planned change never cuts one. */
    URGENT,
    /** Ordinary work with a deadline that may be missed by a little. */
    STANDARD,
    /** Long reads: no deadline that matters, but each arrives eventually. */
    LONG_READ
}
