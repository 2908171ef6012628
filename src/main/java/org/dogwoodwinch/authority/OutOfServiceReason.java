package org.dogwoodwinch.authority;

/** The reason why a target stays out of service after its planned change has ended. */
public enum OutOfServiceReason {
    /** The target is drained until an operator restores it. */
    DRAINED,
    /** The target is withdrawn permanently. */
    WITHDRAWN
}
