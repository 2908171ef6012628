package org.dogwoodwinch.authority;

/** Why a target stays out of service after its planned change is done. */
public enum StandingMark {
    /** Drained until it is restored. */
    DRAINED,
    /** Withdrawn for good. */
    WITHDRAWN
}
