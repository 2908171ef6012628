package org.dogwoodwinch.authority;

/** What a step of a lease does beyond changing its state. */
enum LeaseAction {
    /** The wait before a claim starts anew. */
    COUNT_FROM_NOW
}
