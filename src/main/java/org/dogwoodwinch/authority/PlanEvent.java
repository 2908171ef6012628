package org.dogwoodwinch.authority;

/** An event of a planned change. */
public enum PlanEvent {
    /** The change is the next one of its group and starts. */
    START,
    /** The intent of the change's order is on the log. */
    ORDER,
    /** The order was applied, which completes the change. */
    APPLIED,
    /** The order was applied to the replacement; the replaced engine is to be withdrawn. */
    APPLIED_THEN_RETIRE,
    /** The order failed. */
    REFUSED,
    /** The target is drained, which completes the change. */
    FINISH,
    /** The change cannot be carried out. */
    FAIL,
    /** An operator cancelled the change. */
    CANCEL
}
