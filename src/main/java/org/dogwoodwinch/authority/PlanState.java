package org.dogwoodwinch.authority;

/** The state of a planned change; {@code planned-change.json} defines the transitions. */
public enum PlanState {
    /** Waits until the earlier changes of the group have ended. */
    REQUESTED,
    /** The target gets no new requests; urgent requests in flight complete. */
    DRAINING,
    /** The intent of the change's order is on the log. */
    ORDERING,
    /** The replacement serves requests; the replaced engine is drained. */
    RETIRING,
    /** The change was completed. */
    DONE,
    /** The change failed; the plan's detail holds the reason. */
    FAILED,
    /** An operator cancelled the change. */
    CANCELLED
}
