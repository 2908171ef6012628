package org.dogwoodwinch.relay;

/** Why a call is passed on to another instance. */
enum PassReason {
    /** This instance is cut off from all targets. */
    CUT_OFF,
    /** This instance uses all of its connections to the targets that may serve the call. */
    NO_CONNECTION
}
