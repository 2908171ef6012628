package org.dogwoodwinch.queueing;

import java.util.OptionalDouble;

/**
 * The work that a queue releases per millisecond, observed only while calls wait: without waiting calls the released
 * work shows the demand and not the capacity.
 */
final class BusyRate {

    /** Long enough to average over the calls of one instance of a large fleet, shorter than a shift of the demand. */
    private static final double TIME_CONSTANT_MILLIS = 4_000;

    /** Minimum busy time: two updates of the loads of other instances, since calls are released in bursts after one. */
    private static final double MIN_BUSY_MILLIS = 1_000;

    private final DecayingSum work = new DecayingSum(TIME_CONSTANT_MILLIS);
    private final DecayingSum busyMillis = new DecayingSum(TIME_CONSTANT_MILLIS);
    private long observedMillis = Long.MIN_VALUE;

    /** Accounts for the time since the last call of this method. */
    void advance(boolean wasBusy, long nowMillis) {
        if (wasBusy && observedMillis != Long.MIN_VALUE) {
            busyMillis.add((double) (nowMillis - observedMillis), nowMillis);
        }
        observedMillis = nowMillis;
    }

    /** Records that a call was released, with its work in the unit of {@link WaitingCall#work}. */
    void recordRelease(long released, long nowMillis) {
        work.add((double) released, nowMillis);
    }

    /** Returns the released work per millisecond of busy time; empty if it was not observed for long enough. */
    OptionalDouble perMilli(long nowMillis) {
        double busy = busyMillis.at(nowMillis);
        return busy < MIN_BUSY_MILLIS ? OptionalDouble.empty() : OptionalDouble.of(work.at(nowMillis) / busy);
    }
}
