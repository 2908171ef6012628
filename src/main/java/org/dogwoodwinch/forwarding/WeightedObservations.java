package org.dogwoodwinch.forwarding;

/** Sums of observations of a target, weighted by their age. Not thread-safe. */
final class WeightedObservations {

    /** The number of observations without difference that is added, so that single observations change nothing. */
    static final double PRIOR_WEIGHT = 2;

    private double logRatioSum;
    private double timesWeight;
    private double failuresWeight;

    /** Adds times of a total weight, by the weighted sum of the logarithms of their ratios to the median. */
    void addTimes(double addedLogRatioSum, double weight) {
        logRatioSum += addedLogRatioSum;
        timesWeight += weight;
    }

    /** Adds failures of a total weight. */
    void addFailures(double weight) {
        failuresWeight += weight;
    }

    /** Reduces the weight of all observations by a factor. */
    void multiply(double factor) {
        logRatioSum *= factor;
        timesWeight *= factor;
        failuresWeight *= factor;
    }

    /** Removes all observations. */
    void clear() {
        multiply(0);
    }

    double logRatioSum() {
        return logRatioSum;
    }

    double timesWeight() {
        return timesWeight;
    }

    double failuresWeight() {
        return failuresWeight;
    }

    double totalWeight() {
        return timesWeight + failuresWeight;
    }

    /** Returns the mean logarithm of the times' ratio to the median, relative to that of the typical target. */
    double meanLogRatio(double typicalLogRatio) {
        return (logRatioSum - typicalLogRatio * timesWeight) / (timesWeight + PRIOR_WEIGHT);
    }

    /** Returns the share of the observations that are failures, below one. */
    double failureShare() {
        return failuresWeight / (totalWeight() + PRIOR_WEIGHT);
    }
}
