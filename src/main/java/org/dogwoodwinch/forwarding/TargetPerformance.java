package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.ToIntFunction;

/**
 * How each incarnation of a target differs from the other targets of its service: in the time that it needs for the
 * same work, and in the share of its calls that fail. Not thread-safe.
 *
 * <p>Load: some targets are slow for long, others for half a second at a time, and others fail calls although their
 * health is good. A target that fails calls at once looks idle, and receives more of them.
 *
 * <p>A time is compared with the median of this instance's last times of the same kind of work, and the ratio with the
 * median of the service's targets, so that nothing changes when all targets are slow. Observations lose weight with
 * their age. A target that receives no more calls therefore counts as equal again after some seconds, and its next
 * calls show whether it has recovered. A target is not avoided for slowness that lasted less than a second, since that
 * is over before calls are sent elsewhere.
 *
 * <p>An instance of a large fleet calls a target once in many seconds. {@link #takeReports} returns what it has observed
 * of targets that stand out; the other instances add it to their own observations. A target for which there are reports
 * is reported by all instances, good observations as well as bad ones.
 */
public final class TargetPerformance {

    /** The time in which an observation loses two thirds of its weight: slowness is followed for a few seconds. */
    private static final double HORIZON_MILLIS = 5_000;

    /** The number of observations without difference that is added, so that single observations change nothing. */
    private static final double PRIOR_WEIGHT = 2;

    /** Times of equal targets differ by less on average, because their queues and prompts differ. */
    private static final double NOISE_LOG_RATIO = Math.log(1.4);

    /**
     * Multiple of the median deviation of single times, divided by the root of their number, by which the mean of a
     * target has to exceed the noise: about two standard deviations of that mean. Where times vary much, more of them
     * are needed.
     */
    private static final double DEVIATIONS = 3;

    /** A single time that is reported although nothing else is known of its target. */
    private static final double NOTABLE_LOG_RATIO = Math.log(2);

    /** One call that hangs counts no more than this. */
    private static final double MAX_LOG_RATIO = Math.log(8);

    /** A lower share is that of single failures. */
    private static final double NOISE_FAILURE_SHARE = 0.1;

    /** A single failure may be that of the call. */
    private static final double MIN_FAILURES_WEIGHT = 1.2;

    /** Slowness that is shorter is over before calls are sent elsewhere. */
    private static final long MIN_LASTING_MILLIS = 1_000;

    /** A target that was slow for long is avoided after its first slow call again. */
    private static final long LASTING_MEMORY_MILLIS = 30_000;

    /** Below this, observations have no influence. */
    private static final double FORGOTTEN_WEIGHT = 0.01;

    /** Medians of a service are computed anew after this time, not for each call. */
    private static final long MEDIAN_VALIDITY_MILLIS = 100;

    private final ToIntFunction<String> targetsCount;
    private final TypicalTimes typicalTimes = new TypicalTimes();
    private final Map<String, Evidence> evidenceById = new HashMap<>();
    private final Map<String, MedianWindow> deviationsByService = new HashMap<>();
    private final Map<String, Medians> mediansByService = new HashMap<>();

    /**
     * Creates an instance without observations.
     *
     * @param targetsCount returns the number of targets that may be chosen for a service, evaluated on each use, not
     *     null
     */
    public TargetPerformance(ToIntFunction<String> targetsCount) {
        this.targetsCount = Objects.requireNonNull(targetsCount, "targetsCount");
    }

    /**
     * Records the time of a call that succeeded.
     *
     * @param target the target, not null
     * @param kind the kind of work, not null
     * @param timePerWork milliseconds per unit of work, in the unit of the kind; ignored unless greater than zero
     * @param nowMillis monotonic milliseconds
     */
    public void recordTime(Incarnation target, WorkKind kind, double timePerWork, long nowMillis) {
        if (!(timePerWork > 0)) {
            return;
        }
        OptionalDouble median = typicalTimes.median(target, kind);
        typicalTimes.record(target, kind, timePerWork);
        if (median.isPresent()) {
            double logRatio = logRatio(timePerWork, median.getAsDouble());
            deviationsByService
                    .computeIfAbsent(target.service(), _service -> new MedianWindow())
                    .add(Math.abs(logRatio));
            record(target, logRatio, nowMillis);
        }
    }

    /**
     * Records a call that ended without a response, because its caller left or its time was over. The time without a
     * response is a lower bound of the target's time.
     *
     * @param target the target, not null
     * @param kind the kind of work, not null
     * @param timePerWork milliseconds without a response per unit of work
     * @param nowMillis monotonic milliseconds
     */
    public void recordUnanswered(Incarnation target, WorkKind kind, double timePerWork, long nowMillis) {
        OptionalDouble median = typicalTimes.median(target, kind);
        if (median.isEmpty() || timePerWork <= median.getAsDouble()) {
            return;
        }
        double logRatio = logRatio(timePerWork, median.getAsDouble());
        record(target, logRatio, nowMillis);
        if (logRatio >= MAX_LOG_RATIO) {
            recordFailure(target, false, nowMillis);
        }
    }

    /**
     * Records a call that the target failed.
     *
     * @param target the target, not null
     * @param byTarget whether the target itself reported the failure; a lost response may be caused by the link of this
     *     instance, and is not reported to others
     * @param nowMillis monotonic milliseconds
     */
    public void recordFailure(Incarnation target, boolean byTarget, long nowMillis) {
        Evidence evidence = evidence(target, nowMillis);
        if (evidence != null) {
            evidence.pooled.failuresWeight += 1;
            if (byTarget) {
                evidence.unreported.failuresWeight += 1;
                evidence.noteUnreported(nowMillis);
            }
        }
    }

    private void record(Incarnation target, double logRatio, long nowMillis) {
        Evidence evidence = evidence(target, nowMillis);
        if (evidence == null) {
            return;
        }
        evidence.addTimes(logRatio, 1, nowMillis, nowMillis);
        evidence.unreported.logRatioSum += logRatio;
        evidence.unreported.timesWeight += 1;
        evidence.noteUnreported(nowMillis);
    }

    /**
     * Adds the observations of another instance.
     *
     * @param current the target as it is listed here, not null
     * @param report the observations, not null; ignored if they are those of another incarnation
     * @param nowMillis monotonic milliseconds
     */
    public void addReport(Incarnation current, PerformanceReport report, long nowMillis) {
        if (current.startedMillis() != report.startedMillis()) {
            return;
        }
        Evidence evidence = evidence(current, nowMillis);
        if (evidence == null) {
            return;
        }
        double decay = decay(report.ageMillis());
        double logRatioLimit = MAX_LOG_RATIO * report.timesWeight();
        double logRatioSum = Math.max(-logRatioLimit, Math.min(logRatioLimit, report.logRatioSum()));
        long lastMillis = nowMillis - report.ageMillis();
        evidence.pooled.failuresWeight += decay * report.failuresWeight();
        evidence.reportedWeight += decay * (report.timesWeight() + report.failuresWeight());
        evidence.addTimes(
                decay * logRatioSum, decay * report.timesWeight(), lastMillis - report.spanMillis(), lastMillis);
    }

    /**
     * Removes and returns observations that the other instances should know, first those that differ most from what is
     * known.
     *
     * @param maxCount the maximum number of reports
     * @param nowMillis monotonic milliseconds
     * @return at most one report for each target
     */
    public List<PerformanceReport> takeReports(int maxCount, long nowMillis) {
        if (maxCount <= 0) {
            return List.of();
        }
        List<Map.Entry<String, Evidence>> notable = evidenceById.entrySet().stream()
                .filter(entry -> isNotable(entry.getValue(), nowMillis))
                .sorted(Comparator.comparingDouble(entry -> -entry.getValue().reportPriority()))
                .limit(maxCount)
                .toList();
        List<PerformanceReport> reports = new ArrayList<>();
        notable.forEach(entry -> reports.add(entry.getValue().takeReport(entry.getKey(), nowMillis)));
        return reports;
    }

    private boolean isNotable(Evidence evidence, long nowMillis) {
        evidence.age(nowMillis);
        Observations unreported = evidence.unreported;
        if (unreported.totalWeight() < FORGOTTEN_WEIGHT) {
            return false;
        }
        return unreported.failuresWeight >= FORGOTTEN_WEIGHT
                || Math.abs(unreported.logRatioSum) >= NOTABLE_LOG_RATIO * unreported.timesWeight
                || evidence.reportedWeight >= FORGOTTEN_WEIGHT
                || evidence.isLasting(nowMillis);
    }

    /**
     * Returns how a target differs from the others of its service.
     *
     * @param target the target, not null
     * @param nowMillis monotonic milliseconds
     * @return its standing; {@link TargetStanding#EQUAL} if it does not stand out
     */
    public TargetStanding standing(Incarnation target, long nowMillis) {
        Evidence evidence = evidenceById.get(target.id());
        if (evidence == null || evidence.startedMillis != target.startedMillis()) {
            return TargetStanding.EQUAL;
        }
        evidence.age(nowMillis);
        return standing(evidence, medians(evidence.service, nowMillis), nowMillis);
    }

    private static TargetStanding standing(Evidence evidence, Medians medians, long nowMillis) {
        double logRatio = evidence.pooled.meanLogRatio(medians.logRatio);
        double noise = NOISE_LOG_RATIO
                + DEVIATIONS * medians.deviation / Math.sqrt(evidence.pooled.timesWeight + PRIOR_WEIGHT);
        boolean hasOwnTime = evidence.isLasting(nowMillis) && Math.abs(logRatio) >= noise;
        double excess = evidence.pooled.failureShare() - medians.failureShare;
        boolean fails = evidence.pooled.failuresWeight >= MIN_FAILURES_WEIGHT && excess >= NOISE_FAILURE_SHARE;
        return hasOwnTime || fails
                ? new TargetStanding(hasOwnTime ? Math.exp(logRatio) : 1, fails ? excess : 0)
                : TargetStanding.EQUAL;
    }

    /**
     * Returns the weight of the observations of a target.
     *
     * @param targetId the target's id, not null
     * @param nowMillis monotonic milliseconds
     * @return the number of observations, weighted by age; zero if none are known
     */
    public double weight(String targetId, long nowMillis) {
        Evidence evidence = evidenceById.get(targetId);
        if (evidence == null) {
            return 0;
        }
        evidence.age(nowMillis);
        return evidence.pooled.totalWeight();
    }

    /**
     * Returns the time since the last observation of a target.
     *
     * @param targetId the target's id, not null
     * @param nowMillis monotonic milliseconds
     * @return milliseconds; zero if none is known
     */
    public long ageMillis(String targetId, long nowMillis) {
        Evidence evidence = evidenceById.get(targetId);
        return evidence == null ? 0 : nowMillis - evidence.lastObservedMillis;
    }

    /**
     * Removes what is known of targets whose incarnation has ended, and observations that have lost their weight.
     *
     * @param current the targets that are listed, not null
     * @param nowMillis monotonic milliseconds
     */
    public void retain(List<Incarnation> current, long nowMillis) {
        Map<String, Long> startedById = new HashMap<>();
        current.forEach(target -> startedById.put(target.id(), target.startedMillis()));
        evidenceById.entrySet().removeIf(entry -> {
            Evidence evidence = entry.getValue();
            evidence.age(nowMillis);
            Long started = startedById.get(entry.getKey());
            boolean forgotten = evidence.pooled.totalWeight() < FORGOTTEN_WEIGHT && !evidence.isLasting(nowMillis);
            return started == null || started != evidence.startedMillis || forgotten;
        });
    }

    /** Returns the evidence of an incarnation; null if a later incarnation of the same id is known. */
    private Evidence evidence(Incarnation target, long nowMillis) {
        Evidence known = evidenceById.get(target.id());
        if (known != null && known.startedMillis > target.startedMillis()) {
            return null;
        }
        if (known == null || known.startedMillis != target.startedMillis()) {
            known = new Evidence(target.service(), target.startedMillis(), nowMillis);
            evidenceById.put(target.id(), known);
        }
        known.age(nowMillis);
        return known;
    }

    private Medians medians(String service, long nowMillis) {
        Medians known = mediansByService.get(service);
        if (known == null || nowMillis - known.computedMillis >= MEDIAN_VALIDITY_MILLIS) {
            known = computeMedians(service, nowMillis);
            mediansByService.put(service, known);
        }
        return known;
    }

    /** Targets without observations count as equal to the typical one. */
    private Medians computeMedians(String service, long nowMillis) {
        List<Double> logRatios = new ArrayList<>();
        List<Double> failureShares = new ArrayList<>();
        for (Evidence evidence : evidenceById.values()) {
            if (evidence.service.equals(service)) {
                evidence.age(nowMillis);
                logRatios.add(evidence.pooled.meanLogRatio(0));
                failureShares.add(evidence.pooled.failureShare());
            }
        }
        for (int i = logRatios.size(); i < targetsCount.applyAsInt(service); i++) {
            logRatios.add(0.0);
            failureShares.add(0.0);
        }
        MedianWindow deviations = deviationsByService.get(service);
        double deviation = deviations == null ? 0 : deviations.median().orElse(0);
        return new Medians(median(logRatios), median(failureShares), deviation, nowMillis);
    }

    private static double median(List<Double> values) {
        return values.stream()
                .sorted()
                .skip((values.size() - 1) / 2)
                .findFirst()
                .orElse(0.0);
    }

    private static double logRatio(double time, double typicalTime) {
        return Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, Math.log(time / typicalTime)));
    }

    private static double decay(long elapsedMillis) {
        return Math.exp(-Math.max(0, elapsedMillis) / HORIZON_MILLIS);
    }

    private record Medians(double logRatio, double failureShare, double deviation, long computedMillis) {}

    /** Sums of observations, weighted by age. */
    private static final class Observations {
        private double logRatioSum;
        private double timesWeight;
        private double failuresWeight;

        double totalWeight() {
            return timesWeight + failuresWeight;
        }

        double meanLogRatio(double typicalLogRatio) {
            return (logRatioSum - typicalLogRatio * timesWeight) / (timesWeight + PRIOR_WEIGHT);
        }

        double failureShare() {
            return failuresWeight / (totalWeight() + PRIOR_WEIGHT);
        }

        void multiply(double factor) {
            logRatioSum *= factor;
            timesWeight *= factor;
            failuresWeight *= factor;
        }

        void clear() {
            multiply(0);
        }
    }

    /** What is known of one incarnation. */
    private static final class Evidence {
        private final String service;
        private final long startedMillis;
        private final Observations pooled = new Observations();
        private final Observations unreported = new Observations();
        private double reportedWeight;
        private long agedAtMillis;
        private long lastObservedMillis;
        private long firstUnreportedMillis;
        private long lastUnreportedMillis;
        private long standsOutSinceMillis = Long.MAX_VALUE;
        private long lastingUntilMillis = Long.MIN_VALUE;

        private Evidence(String service, long startedMillis, long nowMillis) {
            this.service = service;
            this.startedMillis = startedMillis;
            this.agedAtMillis = nowMillis;
            this.lastObservedMillis = nowMillis;
        }

        void age(long nowMillis) {
            if (nowMillis > agedAtMillis) {
                double decay = decay(nowMillis - agedAtMillis);
                agedAtMillis = nowMillis;
                pooled.multiply(decay);
                unreported.multiply(decay);
                reportedWeight *= decay;
            }
        }

        boolean isLasting(long nowMillis) {
            return nowMillis < lastingUntilMillis;
        }

        void addTimes(double logRatioSum, double weight, long firstMillis, long lastMillis) {
            lastObservedMillis = Math.max(lastObservedMillis, lastMillis);
            if (weight < FORGOTTEN_WEIGHT) {
                return;
            }
            pooled.logRatioSum += logRatioSum;
            pooled.timesWeight += weight;
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

        /** Returns how much the unreported observations differ from what is known of the incarnation. */
        double reportPriority() {
            double known = pooled.meanLogRatio(0);
            return Math.abs(unreported.logRatioSum - known * unreported.timesWeight)
                    + MAX_LOG_RATIO * unreported.failuresWeight;
        }

        void noteUnreported(long nowMillis) {
            if (unreported.totalWeight() <= 1 + FORGOTTEN_WEIGHT) {
                firstUnreportedMillis = nowMillis;
            }
            lastUnreportedMillis = nowMillis;
            lastObservedMillis = nowMillis;
        }

        PerformanceReport takeReport(String targetId, long nowMillis) {
            PerformanceReport report = new PerformanceReport(
                    targetId,
                    startedMillis,
                    unreported.logRatioSum,
                    unreported.timesWeight,
                    unreported.failuresWeight,
                    lastUnreportedMillis - firstUnreportedMillis,
                    nowMillis - lastUnreportedMillis);
            unreported.clear();
            return report;
        }
    }
}
