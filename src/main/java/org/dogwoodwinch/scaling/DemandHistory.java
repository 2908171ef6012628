package org.dogwoodwinch.scaling;

/** The recent demand of a service, averaged over a short horizon, and its peak. Not thread-safe. */
final class DemandHistory {

    /**
     * Time constant of the average: short enough to reach the demand of a burst of 3 s, and long enough that prompts
     * which happen to arrive together do not show as a peak. A longer time constant underestimates the demand of such
     * bursts.
     */
    private static final long HORIZON_MILLIS = 1_000;

    /** Bursts of the same kind return within this time; an engine that is released between them is missing in the next. */
    private static final long BURST_INTERVAL_MILLIS = 15_000;

    /**
     * Without any call, the demand is unknown rather than zero: engines are ordered before the traffic starts. After
     * this time, the service counts as unused.
     */
    private static final long MAX_UNKNOWN_MILLIS = 60_000;

    private final long startMillis;
    private final RecentPeak peak = new RecentPeak();
    private double average;
    private long lastMillis;
    private long firstDemandMillis = Long.MAX_VALUE;

    /**
     * Creates a history without samples.
     *
     * @param nowMillis monotonic milliseconds
     */
    DemandHistory(long nowMillis) {
        this.startMillis = nowMillis;
        this.lastMillis = nowMillis;
    }

    /**
     * Records the demand at one moment.
     *
     * @param demand the demand in engines
     * @param bootMillis time until a new engine serves
     * @param nowMillis monotonic milliseconds
     */
    void record(double demand, long bootMillis, long nowMillis) {
        average += (demand - average) * (1 - Math.exp((lastMillis - nowMillis) / (double) HORIZON_MILLIS));
        lastMillis = nowMillis;
        peak.add(average, BURST_INTERVAL_MILLIS + bootMillis, nowMillis);
        if (demand > 0 && firstDemandMillis == Long.MAX_VALUE) {
            firstDemandMillis = nowMillis;
        }
    }

    /**
     * Returns the recent peak of the average.
     *
     * @return the demand in engines
     */
    double peak() {
        return peak.value();
    }

    /**
     * Returns when the history was begun.
     *
     * @return monotonic milliseconds
     */
    long startMillis() {
        return startMillis;
    }

    /**
     * Returns when the last sample was recorded.
     *
     * @return monotonic milliseconds
     */
    long lastMillis() {
        return lastMillis;
    }

    /**
     * Returns whether the demand has been observed for long enough to decide the number of engines.
     *
     * @param requiredMillis time for which the demand must have been observed
     * @param nowMillis monotonic milliseconds
     * @return whether it has
     */
    boolean isSufficient(long requiredMillis, long nowMillis) {
        boolean hasDemand = firstDemandMillis != Long.MAX_VALUE;
        return hasDemand
                ? nowMillis - firstDemandMillis >= requiredMillis
                : nowMillis - startMillis >= Math.max(requiredMillis, MAX_UNKNOWN_MILLIS);
    }
}
