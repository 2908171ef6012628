package org.dogwoodwinch.forwarding;

/** The observations of one incarnation of a target, by this instance and by others. Not thread-safe. */
final class PerformanceEvidence {

    /** Times of equal targets differ by less on average, because their queues and prompts differ. */
    static final double NOISE_LOG_RATIO = Math.log(1.4);

    /** One call that hangs counts no more than this. */
    static final double MAX_LOG_RATIO = Math.log(8);

    /** The time in which an observation loses two thirds of its weight: slowness is followed for a few seconds. */
    private static final double HORIZON_MILLIS = 5_000;

    /** A single time that is reported although nothing else is known of its target. */
    private static final double NOTABLE_LOG_RATIO = Math.log(2);

    /** Slowness that is shorter is over before calls are sent elsewhere. */
    private static final long MIN_LASTING_MILLIS = 1_000;

    /** A target that was slow for long is avoided after its first slow call again. */
    private static final long LASTING_MEMORY_MILLIS = 30_000;

    /** Below this, observations have no influence. */
    private static final double FORGOTTEN_WEIGHT = 0.01;

    private final String service;
    private final long startedMillis;
    private final WeightedObservations pooled = new WeightedObservations();
    private final WeightedObservations unreported = new WeightedObservations();
    private double reportedWeight;
    private long agedAtMillis;
    private long lastObservedMillis;
    private long firstUnreportedMillis;
    private long lastUnreportedMillis;
    private long standsOutSinceMillis = Long.MAX_VALUE;
    private long lastingUntilMillis = Long.MIN_VALUE;

    /**
     * Creates evidence without observations.
     *
     * @param service the service of the target, not null
     * @param startedMillis when the incarnation started, in wall-clock milliseconds
     * @param nowMillis monotonic milliseconds
     */
    PerformanceEvidence(String service, long startedMillis, long nowMillis) {
        this.service = service;
        this.startedMillis = startedMillis;
        this.agedAtMillis = nowMillis;
        this.lastObservedMillis = nowMillis;
    }

    String service() {
        return service;
    }

    long startedMillis() {
        return startedMillis;
    }

    /** Returns all observations, with the weights that they had when {@link #age} was last called. */
    WeightedObservations pooled() {
        return pooled;
    }

    /** Returns when the last observation was made, in monotonic milliseconds. */
    long lastObservedMillis() {
        return lastObservedMillis;
    }

    /** Reduces the weights of the observations to those that they have now. */
    void age(long nowMillis) {
        if (nowMillis > agedAtMillis) {
            double decay = decay(nowMillis - agedAtMillis);
            agedAtMillis = nowMillis;
            pooled.multiply(decay);
            unreported.multiply(decay);
            reportedWeight *= decay;
        }
    }

    private static double decay(long elapsedMillis) {
        return Math.exp(-Math.max(0, elapsedMillis) / HORIZON_MILLIS);
    }

    /** Returns whether the target has stood out for so long that the difference is expected to last. */
    boolean isLasting(long nowMillis) {
        return nowMillis < lastingUntilMillis;
    }

    /** Returns whether the observations have lost their weight. */
    boolean isForgotten(long nowMillis) {
        return pooled.totalWeight() < FORGOTTEN_WEIGHT && !isLasting(nowMillis);
    }

    /** Records a time that this instance measured, by the logarithm of its ratio to the median. */
    void recordTime(double logRatio, long nowMillis) {
        addTimes(logRatio, 1, nowMillis, nowMillis);
        unreported.addTimes(logRatio, 1);
        noteUnreported(nowMillis);
    }

    /** Records a failure of a call of this instance; one that is not by the target itself is not reported to others. */
    void recordFailure(boolean byTarget, long nowMillis) {
        pooled.addFailures(1);
        if (byTarget) {
            unreported.addFailures(1);
            noteUnreported(nowMillis);
        }
    }

    /** Adds the observations of another instance. */
    void addReport(PerformanceReport report, long nowMillis) {
        double decay = decay(report.ageMillis());
        double logRatioLimit = MAX_LOG_RATIO * report.timesWeight();
        double logRatioSum = Math.max(-logRatioLimit, Math.min(logRatioLimit, report.logRatioSum()));
        long lastMillis = nowMillis - report.ageMillis();
        pooled.addFailures(decay * report.failuresWeight());
        reportedWeight += decay * (report.timesWeight() + report.failuresWeight());
        addTimes(decay * logRatioSum, decay * report.timesWeight(), lastMillis - report.spanMillis(), lastMillis);
    }

    private void addTimes(double logRatioSum, double weight, long firstMillis, long lastMillis) {
        lastObservedMillis = Math.max(lastObservedMillis, lastMillis);
        if (weight < FORGOTTEN_WEIGHT) {
            return;
        }
        pooled.addTimes(logRatioSum, weight);
        boolean standsOut = Math.abs(logRatioSum) >= NOISE_LOG_RATIO * weight;
        if (standsOut) {
            standsOutSinceMillis = Math.min(standsOutSinceMillis, firstMillis);
            if (lastMillis - standsOutSinceMillis >= MIN_LASTING_MILLIS) {
                lastingUntilMillis = Math.max(lastingUntilMillis, lastMillis + LASTING_MEMORY_MILLIS);
            }
        } else if (Math.abs(pooled.meanLogRatio(0)) < NOISE_LOG_RATIO) {
            standsOutSinceMillis = Long.MAX_VALUE;
            lastingUntilMillis = Long.MIN_VALUE;
        }
    }

    private void noteUnreported(long nowMillis) {
        if (unreported.totalWeight() <= 1 + FORGOTTEN_WEIGHT) {
            firstUnreportedMillis = nowMillis;
        }
        lastUnreportedMillis = nowMillis;
        lastObservedMillis = nowMillis;
    }

    /** Returns whether there are observations that the other instances should know. */
    boolean isNotable(long nowMillis) {
        if (unreported.totalWeight() < FORGOTTEN_WEIGHT) {
            return false;
        }
        return unreported.failuresWeight() >= FORGOTTEN_WEIGHT
                || Math.abs(unreported.logRatioSum()) >= NOTABLE_LOG_RATIO * unreported.timesWeight()
                || reportedWeight >= FORGOTTEN_WEIGHT
                || isLasting(nowMillis);
    }

    /** Returns how much the unreported observations differ from what is known of the incarnation. */
    double reportPriority() {
        double known = pooled.meanLogRatio(0);
        return Math.abs(unreported.logRatioSum() - known * unreported.timesWeight())
                + MAX_LOG_RATIO * unreported.failuresWeight();
    }

    /** Removes the unreported observations, and returns them as a report. */
    PerformanceReport takeReport(String targetId, long nowMillis) {
        PerformanceReport report = new PerformanceReport(
                targetId,
                startedMillis,
                unreported.logRatioSum(),
                unreported.timesWeight(),
                unreported.failuresWeight(),
                lastUnreportedMillis - firstUnreportedMillis,
                nowMillis - lastUnreportedMillis);
        unreported.clear();
        return report;
    }
}
