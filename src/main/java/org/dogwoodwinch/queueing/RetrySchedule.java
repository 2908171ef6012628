package org.dogwoodwinch.queueing;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The times at which refused callers are asked to return. Each gets the next time at which the part of the service rate
 * that is reserved for returning callers has served those before it, so that they do not return together. Not
 * thread-safe.
 */
public final class RetrySchedule {

    /** Part of the rate that is promised to returning callers; the rest serves calls that arrive in the meantime. */
    private static final double RESERVED_RATIO = 0.5;

    /** Earliest time of a return: connections and loads do not change faster. */
    private static final long MIN_RETRY_MILLIS = 50;

    /** Distance between two returns if the service rate is not known. */
    private static final double UNKNOWN_RATE_MILLIS = 20;

    /** Latest time of a return. Callers leave long before it, and a rate that was observed now says nothing of then. */
    private static final long MAX_RETRY_MILLIS = 30_000;

    private final UniformRandomProvider random;
    private final Map<Integer, Double> nextReturnMillis = new HashMap<>();

    /**
     * Creates a schedule without returns.
     *
     * @param random spreads the returns between two times, not null
     */
    public RetrySchedule(UniformRandomProvider random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns when a caller that is refused now should return, and reserves that time.
     *
     * @param call the refused call, not null
     * @param workPerMilli the work that is released per millisecond for its priority, empty if not known, not null
     * @param nowMillis the time in monotonic milliseconds
     * @return the time from now in milliseconds
     */
    public long reserve(WaitingCall call, OptionalDouble workPerMilli, long nowMillis) {
        double spacingMillis = workPerMilli.isPresent()
                ? (double) call.work() / Math.max(Double.MIN_NORMAL, workPerMilli.getAsDouble() * RESERVED_RATIO)
                : UNKNOWN_RATE_MILLIS;
        double beginMillis =
                Math.max((double) nowMillis + MIN_RETRY_MILLIS, nextReturnMillis.getOrDefault(call.priority(), 0.0));
        double latestMillis = (double) nowMillis + MAX_RETRY_MILLIS;
        nextReturnMillis.put(call.priority(), Math.min(latestMillis, beginMillis + spacingMillis));
        double returnMillis = beginMillis + random.nextDouble() * spacingMillis;
        return Math.round(Math.min(latestMillis, returnMillis) - nowMillis);
    }
}
