package org.dogwoodwinch.usage;

/** What is known of a call to the platform that only one holder at a time may send. */
public enum DutyOutcome {

    /** The platform has accepted it. */
    ACCEPTED,

    /** The platform has seen a higher fencing token: another instance holds the duty. */
    FENCED,

    /** The platform has not carried it out and never will; it may be sent again. */
    REJECTED,

    /** No answer: it may have been carried out, or may still be. */
    UNKNOWN
}
