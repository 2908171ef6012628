package org.dogwoodwinch.queueing;

import java.util.HashMap;
import java.util.Map;

/**
 * The times that calls need after they are sent, by route, as exponential moving averages. Not thread-safe.
 */
public final class ServiceTimes {

    /** Follows a change within about 20 calls. */
    private static final double SMOOTHING_WEIGHT = 0.1;

    /**
     * Mean deviations that are added to the mean time to the first event.
     *
     * <p>Failure: under overload, calls are sent at the last moment at which they can be on time. With the mean alone, half
     * of them are late all the same, in place of calls that arrived later and could have been on time.
     */
    private static final double DEVIATIONS_COUNT = 2;

    private final Map<String, Average> firstEvents = new HashMap<>();
    private final Map<String, Average> completions = new HashMap<>();

    /**
     * Records the time from the send of a call to its first event, or to the answer if it has no events.
     *
     * @param route the name of the call's route, not null
     * @param millis the time in milliseconds
     */
    public void recordFirstEvent(String route, long millis) {
        firstEvents.computeIfAbsent(route, _route -> new Average()).record(millis);
    }

    /**
     * Records the time from the send of a call to the end of its answer.
     *
     * @param route the name of the call's route, not null
     * @param millis the time in milliseconds
     */
    public void recordCompletion(String route, long millis) {
        completions.computeIfAbsent(route, _route -> new Average()).record(millis);
    }

    /**
     * Returns the time within which most calls get their first event.
     *
     * @param route the name of the route, not null
     * @return milliseconds; zero if none was observed
     */
    public long firstEventMillis(String route) {
        Average observed = firstEvents.get(route);
        return observed == null ? 0 : Math.round(observed.mean + DEVIATIONS_COUNT * observed.deviation);
    }

    /**
     * Returns the mean time to the end of the answer.
     *
     * @param route the name of the route, not null
     * @return milliseconds; zero if none was observed
     */
    public long completionMillis(String route) {
        Average observed = completions.get(route);
        return observed == null ? 0 : Math.round(observed.mean);
    }

    private static final class Average {
        private double mean = -1;
        private double deviation;

        void record(long observedMillis) {
            double millis = (double) observedMillis;
            if (mean < 0) {
                mean = millis;
                return;
            }
            double error = millis - mean;
            mean += SMOOTHING_WEIGHT * error;
            deviation += SMOOTHING_WEIGHT * (Math.abs(error) - deviation);
        }
    }
}
