package org.dogwoodwinch.authority;

/** How far a planned change is; the chart {@code planned-change.json} says what leads where. */
public enum PlanState {
    /** Waits for its turn in its group. */
    REQUESTED,
    /** Its target gets no new work; urgent requests in flight finish. */
    DRAINING,
    /** Its order is on the log. */
    ORDERING,
    /** The replacement serves; the engine that it replaces is drained. */
    RETIRING,
    /** Done. */
    DONE,
    /** Given up; the detail says why. */
    FAILED,
    /** Cancelled by an operator. */
    CANCELLED
}
