package org.dogwoodwinch.authority;

/** What a step of a planned change does beyond changing its state. */
public enum PlanAction {
    /** The target stays drained, or withdrawn, until an operator restores it. */
    MARK_STANDING
}
