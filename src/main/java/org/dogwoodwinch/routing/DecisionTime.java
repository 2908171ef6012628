package org.dogwoodwinch.routing;

import org.dogwoodwinch.time.TimeSource;

/**
 * The time of one routing decision on both clocks.
 *
 * @param monotonicMillis the monotonic clock, for intervals that this instance measures itself
 * @param wallMillis the wall clock, for comparison with load reports, which carry the engine's time of day
 */
record DecisionTime(long monotonicMillis, long wallMillis) {

    static DecisionTime now(TimeSource time) {
        return new DecisionTime(time.monotonicMillis(), time.wallMillis());
    }
}
