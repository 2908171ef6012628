package org.dogwoodwinch.forwarding;

/**
 * The level of a call in an engine's queue. The engine admits calls of a lower level first.
 *
 * <p>Each route priority has two levels: one for calls that can still meet their objective, and behind it one for
 * calls that are expected to be late at any engine.
 *
 * <p>Failure: while the demand exceeds the prefill capacity, first-come-first-served order delays all calls alike,
 * and all miss their objective by a little. Placed behind the calls that can be on time, late calls do not delay
 * those, and are still admitted before all calls of a less urgent priority.
 */
public final class QueueLevel {

    /** Number of levels that engines distinguish. */
    public static final int COUNT = 10;

    private static final int LEVELS_PER_PRIORITY = 2;

    private QueueLevel() {}

    /**
     * Returns the level of a call that can meet its objective.
     *
     * @param priority the route's priority, where zero is the most urgent
     * @return a level from 0 to 8; priorities beyond the fifth share the last level
     */
    public static int onTime(int priority) {
        return Math.max(0, Math.min(COUNT - LEVELS_PER_PRIORITY, priority * LEVELS_PER_PRIORITY));
    }

    /**
     * Returns the level of a call that is expected to be late.
     *
     * @param priority the route's priority, where zero is the most urgent
     * @return the level after that of calls on time, from 1 to 9
     */
    public static int late(int priority) {
        return onTime(priority) + 1;
    }
}
