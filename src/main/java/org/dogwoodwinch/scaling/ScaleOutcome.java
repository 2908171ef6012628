package org.dogwoodwinch.scaling;

/** What is known of an order for engines. */
public enum ScaleOutcome {

    /** The platform has accepted it. */
    ACCEPTED,

    /** The platform has no more such engines at the moment, or has seen a higher fencing token. */
    CONFLICT,

    /** The platform has not carried it out and never will; it may be sent again. */
    REJECTED,

    /** No answer: it may have been carried out, or may still be. */
    UNKNOWN
}
