package org.dogwoodwinch.authority;

/** An action on a transition of the lease state chart. */
enum LeaseAction {
    /** Restarts the wait before a claim. */
    COUNT_FROM_NOW
}
