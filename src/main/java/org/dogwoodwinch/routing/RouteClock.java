package org.dogwoodwinch.routing;

import org.dogwoodwinch.time.TimeSource;

/**
 * The time of one decision on both clocks.
 *
 * @param monotonicMillis for what this instance measured itself
 * @param wallMillis for reports, which carry the engine's time of day
 */
record RouteClock(long monotonicMillis, long wallMillis) {

    static RouteClock read(TimeSource time) {
        return new RouteClock(time.monotonicMillis(), time.wallMillis());
    }
}
