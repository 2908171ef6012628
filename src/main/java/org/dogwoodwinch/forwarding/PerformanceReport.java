package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * What one instance has observed of a target since its previous report.
 *
 * @param targetId the target's id, not null
 * @param startedMillis the start time of the incarnation
 * @param logRatioSum the sum of the natural logarithms of the time ratios, weighted by age
 * @param timesWeight the number of observed times, weighted by age
 * @param failuresWeight the number of failures, weighted by age
 * @param spanMillis the time between the first and the last observation
 * @param ageMillis the time since the last observation
 */
public record PerformanceReport(
        String targetId,
        long startedMillis,
        double logRatioSum,
        double timesWeight,
        double failuresWeight,
        long spanMillis,
        long ageMillis) {

    /**
     * Validates the components.
     *
     * @throws IllegalArgumentException if a weight is negative or not finite, or a time is negative
     */
    public PerformanceReport {
        Objects.requireNonNull(targetId, "targetId");
        boolean validWeights = Double.isFinite(logRatioSum) && isWeight(timesWeight) && isWeight(failuresWeight);
        if (!validWeights || spanMillis < 0 || ageMillis < 0) {
            throw new IllegalArgumentException("not an observation of " + targetId + ": " + logRatioSum + " of "
                    + timesWeight + ", " + failuresWeight + " failures, " + spanMillis + " ms, " + ageMillis + " ms");
        }
    }

    private static boolean isWeight(double weight) {
        return Double.isFinite(weight) && weight >= 0;
    }
}
