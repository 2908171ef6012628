package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToIntFunction;

/** The medians of the observations of each service's targets. Not thread-safe. */
final class PerformanceMedians {

    /** Medians of a service are computed anew after this time, not for each call. */
    private static final long VALIDITY_MILLIS = 100;

    private final ToIntFunction<String> targetsCount;
    private final Map<String, MedianWindow> deviationsByService = new HashMap<>();
    private final Map<String, Medians> mediansByService = new HashMap<>();

    /**
     * Creates an instance without observations.
     *
     * @param targetsCount returns the number of targets that may be chosen for a service, evaluated on each use, not
     *     null
     */
    PerformanceMedians(ToIntFunction<String> targetsCount) {
        this.targetsCount = Objects.requireNonNull(targetsCount, "targetsCount");
    }

    /** Records by how much a single time deviates from the median of its kind, as the logarithm of the ratio. */
    void recordDeviation(String service, double logRatio) {
        deviationsByService
                .computeIfAbsent(service, _service -> new MedianWindow())
                .add(Math.abs(logRatio));
    }

    /**
     * Returns the medians of a service.
     *
     * @param service the service, not null
     * @param evidence the observations of the targets of all services, which are aged to now, not null
     * @param nowMillis monotonic milliseconds
     * @return the medians, computed a short time ago at most
     */
    Medians of(String service, Collection<PerformanceEvidence> evidence, long nowMillis) {
        Medians known = mediansByService.get(service);
        if (known == null || nowMillis - known.computedMillis >= VALIDITY_MILLIS) {
            known = compute(service, evidence, nowMillis);
            mediansByService.put(service, known);
        }
        return known;
    }

    /** Targets without observations count as equal to the typical one. */
    private Medians compute(String service, Collection<PerformanceEvidence> evidence, long nowMillis) {
        List<Double> logRatios = new ArrayList<>();
        List<Double> failureShares = new ArrayList<>();
        for (PerformanceEvidence each : evidence) {
            if (each.service().equals(service)) {
                each.age(nowMillis);
                logRatios.add(each.pooled().meanLogRatio(0));
                failureShares.add(each.pooled().failureShare());
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

    /**
     * The medians of one service.
     *
     * @param logRatio the median of the targets' mean logarithms of the ratio of a time to the median of its kind
     * @param failureShare the median of the targets' shares of failed calls
     * @param deviation the median absolute logarithm of the ratio of a single time to the median of its kind
     * @param computedMillis when they were computed, in monotonic milliseconds
     */
    record Medians(double logRatio, double failureShare, double deviation, long computedMillis) {}
}
