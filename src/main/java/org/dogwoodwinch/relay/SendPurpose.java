package org.dogwoodwinch.relay;

/** What a send to a target is for. Each is an arrival there. */
enum SendPurpose {
    /** The call is run, and no target got it before to be run. */
    RUN,
    /** The call is sent once more after an earlier send gave no success. */
    REPEAT,
    /** The target reads the prompt for another one that will run the call. */
    READING
}
