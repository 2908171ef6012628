package org.dogwoodwinch.forwarding;

/**
 * Where a call stands in the queue of an engine: a lower level is admitted before a higher one.
 *
 * <p>Each urgency of a route has two levels: one for calls that can still be answered within their objective, and behind
 * it one for those that are expected late wherever they go.
 *
 * <p>Failure: while more is asked than engines read, calls in order of arrival all wait alike and all miss their
 * objective by a little. Behind those that can make it, the late ones cost nobody else's objective and still come before
 * all less urgent calls.
 */
public final class QueueLevel {

    /** Levels that an engine tells apart. */
    public static final int COUNT = 10;

    private static final int LEVELS_PER_PRIORITY = 2;

    private QueueLevel() {}

    /**
     * Returns the level of a call that can be answered within its objective.
     *
     * @param priority the route's rank, zero is the most urgent
     * @return a level from 0 to 9; urgencies beyond the fifth share the last
     */
    public static int onTime(int priority) {
        return Math.max(0, Math.min(COUNT - LEVELS_PER_PRIORITY, priority * LEVELS_PER_PRIORITY));
    }

    /**
     * Returns the level of a call that is expected late.
     *
     * @param priority the route's rank, zero is the most urgent
     * @return the level behind that of calls in time
     */
    public static int late(int priority) {
        return onTime(priority) + 1;
    }
}
