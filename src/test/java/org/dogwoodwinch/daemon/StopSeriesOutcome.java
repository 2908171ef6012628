package org.dogwoodwinch.daemon;

import java.util.Set;

/** How a call ended for its caller. */
enum StopSeriesOutcome {
    /** A whole success. */
    WHOLE,
    /** A whole answer that states that the call did not run. */
    REFUSED,
    /** A whole answer of another failure. */
    FAILED,
    /** The connection ended within an answer. */
    ABORTED,
    /** The connection ended without an answer, though the call was passed on or the connection stayed open after it. */
    UNANSWERED,
    /** The connection ended while the call was on its way to the instance, which cannot have read it in time. */
    UNREAD;

    /** A connection that ends sooner after a call may have been closed before the call was received. */
    private static final long MAX_UNREAD_MILLIS = 200;

    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /**
     * Returns how a call ended.
     *
     * @param received what its caller received, not null
     * @param runsCount how often targets ran it
     */
    static StopSeriesOutcome of(StopSeriesReply received, int runsCount) {
        StutterReply reply = received.reply();
        if (reply.status() == 0) {
            boolean maybeUnread = received.maybeUnaccepted() || received.waitedMillis() <= MAX_UNREAD_MILLIS;
            return runsCount == 0 && maybeUnread ? UNREAD : UNANSWERED;
        }
        if (!reply.isWhole()) {
            return ABORTED;
        }
        if (reply.isSuccess()) {
            return WHOLE;
        }
        return NOT_RUN_STATUSES.contains(reply.status()) ? REFUSED : FAILED;
    }
}
