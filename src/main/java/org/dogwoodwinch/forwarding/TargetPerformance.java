package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    /**
     * Multiple of the median deviation of single times, divided by the root of their number, by which the mean of a
     * target has to exceed the noise: about two standard deviations of that mean. Where times vary much, more of them
     * are needed.
     */
    private static final double DEVIATIONS = 3;

    /** A lower share is that of single failures. */
    private static final double NOISE_FAILURE_SHARE = 0.1;

    /** A single failure may be that of the call. */
    private static final double MIN_FAILURES_WEIGHT = 1.2;

    private final TypicalTimes typicalTimes = new TypicalTimes();
    private final Map<String, PerformanceEvidence> evidenceById = new HashMap<>();
    private final PerformanceMedians medians;

    /**
     * Creates an instance without observations.
     *
     * @param targetsCount returns the number of targets that may be chosen for a service, evaluated on each use, not
     *     null
     */
    public TargetPerformance(ToIntFunction<String> targetsCount) {
        this.medians = new PerformanceMedians(targetsCount);
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
            medians.recordDeviation(target.service(), logRatio);
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
        if (logRatio >= PerformanceEvidence.MAX_LOG_RATIO) {
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
        PerformanceEvidence evidence = evidence(target, nowMillis);
        if (evidence != null) {
            evidence.recordFailure(byTarget, nowMillis);
        }
    }

    private void record(Incarnation target, double logRatio, long nowMillis) {
        PerformanceEvidence evidence = evidence(target, nowMillis);
        if (evidence != null) {
            evidence.recordTime(logRatio, nowMillis);
        }
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
        PerformanceEvidence evidence = evidence(current, nowMillis);
        if (evidence != null) {
            evidence.addReport(report, nowMillis);
        }
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
        List<Map.Entry<String, PerformanceEvidence>> notable = evidenceById.entrySet().stream()
                .filter(entry -> isNotable(entry.getValue(), nowMillis))
                .sorted(Comparator.comparingDouble(entry -> -entry.getValue().reportPriority()))
                .limit(maxCount)
                .toList();
        List<PerformanceReport> reports = new ArrayList<>();
        notable.forEach(entry -> reports.add(entry.getValue().takeReport(entry.getKey(), nowMillis)));
        return reports;
    }

    private static boolean isNotable(PerformanceEvidence evidence, long nowMillis) {
        evidence.age(nowMillis);
        return evidence.isNotable(nowMillis);
    }

    /**
     * Returns how a target differs from the others of its service.
     *
     * @param target the target, not null
     * @param nowMillis monotonic milliseconds
     * @return its standing; {@link TargetStanding#EQUAL} if it does not stand out
     */
    public TargetStanding standing(Incarnation target, long nowMillis) {
        PerformanceEvidence evidence = evidenceById.get(target.id());
        if (evidence == null || evidence.startedMillis() != target.startedMillis()) {
            return TargetStanding.EQUAL;
        }
        evidence.age(nowMillis);
        return standing(evidence, medians.of(evidence.service(), evidenceById.values(), nowMillis), nowMillis);
    }

    private static TargetStanding standing(
            PerformanceEvidence evidence, PerformanceMedians.Medians serviceMedians, long nowMillis) {
        WeightedObservations observations = evidence.pooled();
        double logRatio = observations.meanLogRatio(serviceMedians.logRatio());
        double noise = PerformanceEvidence.NOISE_LOG_RATIO
                + DEVIATIONS
                        * serviceMedians.deviation()
                        / Math.sqrt(observations.timesWeight() + WeightedObservations.PRIOR_WEIGHT);
        boolean hasOwnTime = evidence.isLasting(nowMillis) && Math.abs(logRatio) >= noise;
        double excess = observations.failureShare() - serviceMedians.failureShare();
        boolean fails = observations.failuresWeight() >= MIN_FAILURES_WEIGHT && excess >= NOISE_FAILURE_SHARE;
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
        PerformanceEvidence evidence = evidenceById.get(targetId);
        if (evidence == null) {
            return 0;
        }
        evidence.age(nowMillis);
        return evidence.pooled().totalWeight();
    }

    /**
     * Returns the time since the last observation of a target.
     *
     * @param targetId the target's id, not null
     * @param nowMillis monotonic milliseconds
     * @return milliseconds; zero if none is known
     */
    public long ageMillis(String targetId, long nowMillis) {
        PerformanceEvidence evidence = evidenceById.get(targetId);
        return evidence == null ? 0 : nowMillis - evidence.lastObservedMillis();
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
            PerformanceEvidence evidence = entry.getValue();
            evidence.age(nowMillis);
            Long started = startedById.get(entry.getKey());
            return started == null || started != evidence.startedMillis() || evidence.isForgotten(nowMillis);
        });
    }

    /** Returns the evidence of an incarnation; null if a later incarnation of the same id is known. */
    private PerformanceEvidence evidence(Incarnation target, long nowMillis) {
        PerformanceEvidence known = evidenceById.get(target.id());
        if (known != null && known.startedMillis() > target.startedMillis()) {
            return null;
        }
        if (known == null || known.startedMillis() != target.startedMillis()) {
            known = new PerformanceEvidence(target.service(), target.startedMillis(), nowMillis);
            evidenceById.put(target.id(), known);
        }
        known.age(nowMillis);
        return known;
    }

    private static double logRatio(double time, double typicalTime) {
        return Math.max(
                -PerformanceEvidence.MAX_LOG_RATIO,
                Math.min(PerformanceEvidence.MAX_LOG_RATIO, Math.log(time / typicalTime)));
    }
}
