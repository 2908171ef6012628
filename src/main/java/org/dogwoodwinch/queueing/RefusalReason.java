package org.dogwoodwinch.queueing;

/** Why a call is refused instead of being queued further. */
public enum RefusalReason {
    /** The call cannot be answered before its caller leaves. */
    DEADLINE_UNMEETABLE,
    /** The queue of the service holds its maximum number of calls. */
    QUEUE_FULL,
    /** The instance is about to end. */
    STOPPING
}
