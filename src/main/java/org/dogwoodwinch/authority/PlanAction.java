package org.dogwoodwinch.authority;

/** An action on a transition of the planned-change state chart. */
public enum PlanAction {
    /** Keeps the target drained or withdrawn until an operator restores it. */
    MARK_STANDING
}
