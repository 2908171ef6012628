package org.dogwoodwinch.forwarding;

/** Whether a call may be written to the target that was chosen for it, asked directly before the write. */
public enum SendCheck {
    /** The call may be written. */
    ALLOWED,
    /** The target has since begun to drain, was removed, restarted, or changed its stage. */
    LEFT,
    /** The target has since turned this instance away and asked for a rest. */
    RESTING
}
