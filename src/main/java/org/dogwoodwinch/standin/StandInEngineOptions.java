package org.dogwoodwinch.standin;

import java.util.Objects;

/**
 * How a stand-in engine behaves.
 *
 * @param cost its cost formula, not null
 * @param checksFencing whether it refuses an order with an old fencing token
 * @param reportLagMillis how old its load reports are
 * @param cacheEventLagMillis how late its cache events come
 * @param maxWaiting requests that it lets wait before it refuses for load
 * @param streamKeepMillis how long it keeps a finished or abandoned stream for a caller that joins it again
 * @param restartMillis how long it is away after a crash
 */
public record StandInEngineOptions(
        EngineCost cost,
        boolean checksFencing,
        long reportLagMillis,
        long cacheEventLagMillis,
        int maxWaiting,
        long streamKeepMillis,
        long restartMillis) {

    /** Checks fencing tokens, reports with a lag of a second. */
    public static final StandInEngineOptions STANDARD =
            new StandInEngineOptions(EngineCost.STANDARD, true, 1_000, 2_000, 4_096, 60_000, 3_000);

    /** Checks the parts. */
    public StandInEngineOptions {
        Objects.requireNonNull(cost, "cost");
    }

    /**
     * Returns these options with another cost formula.
     *
     * @param newCost the formula, not null
     * @return the copy
     */
    public StandInEngineOptions withCost(EngineCost newCost) {
        return new StandInEngineOptions(
                newCost,
                checksFencing,
                reportLagMillis,
                cacheEventLagMillis,
                maxWaiting,
                streamKeepMillis,
                restartMillis);
    }

    /**
     * Returns these options with or without the check of fencing tokens.
     *
     * @param newChecksFencing whether the engine checks
     * @return the copy
     */
    public StandInEngineOptions withChecksFencing(boolean newChecksFencing) {
        return new StandInEngineOptions(
                cost,
                newChecksFencing,
                reportLagMillis,
                cacheEventLagMillis,
                maxWaiting,
                streamKeepMillis,
                restartMillis);
    }

    /**
     * Returns these options with another lag of load reports.
     *
     * @param newReportLagMillis the lag
     * @return the copy
     */
    public StandInEngineOptions withReportLagMillis(long newReportLagMillis) {
        return new StandInEngineOptions(
                cost,
                checksFencing,
                newReportLagMillis,
                cacheEventLagMillis,
                maxWaiting,
                streamKeepMillis,
                restartMillis);
    }
}
