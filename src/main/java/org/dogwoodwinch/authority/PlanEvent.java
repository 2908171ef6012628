package org.dogwoodwinch.authority;

/** What happens to a planned change. */
public enum PlanEvent {
    /** Its turn has come. */
    START,
    /** Its order's intent is on the log. */
    ORDER,
    /** Its order is applied, and that was all. */
    APPLIED,
    /** Its order is applied, and the engine that was replaced is to leave. */
    APPLIED_THEN_RETIRE,
    /** Its order failed. */
    REFUSED,
    /** Its target is drained, and that was all that is left. */
    FINISH,
    /** It cannot be carried out. */
    FAIL,
    /** An operator cancels it. */
    CANCEL
}
