package org.dogwoodwinch.http;

/** Whether this instance takes new requests. */
public enum ServingState {
    /** It takes requests as soon as it has a catalogue. */
    SERVING,
    /** It still takes requests, and tells the balancer that it will not for long. */
    LEAVING,
    /** It finishes what it has and refuses what is new. */
    STOPPING
}
