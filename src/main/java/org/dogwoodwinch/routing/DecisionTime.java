package org.dogwoodwinch.routing;

import org.dogwoodwinch.time.TimeSource;

/**
 * The time of one decision on both clocks.
 *
 * @param monotonicMillis for what this instance measured itself
 * @param wallMillis for reports, which carry the engine's time of day
 */
record DecisionTime(long monotonicMillis, long wallMillis) {

    static DecisionTime now(TimeSource time) {
        return new DecisionTime(time.monotonicMillis(), time.wallMillis());
    }
}
