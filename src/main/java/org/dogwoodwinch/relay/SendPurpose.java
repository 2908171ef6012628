package org.dogwoodwinch.relay;

/** The purpose of a send to a target. Each send counts as a request there. */
enum SendPurpose {
    /** The first send of a call to a target that runs it. */
    RUN,
    /** A retry after an unsuccessful send. */
    REPEAT,
    /** A prefill of the prompt for another target that runs the call. */
    READING
}
