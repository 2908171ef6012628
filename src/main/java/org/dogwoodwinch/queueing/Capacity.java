package org.dogwoodwinch.queueing;

/** Whether the targets of a service can take a call now. */
public enum Capacity {
    /** Some target can take the call. */
    AVAILABLE,
    /** Targets may receive calls, but none can take the call before it has finished others. */
    EXHAUSTED,
    /** No target may receive the call, so that waiting for one to finish others does not help. */
    NO_TARGET
}
