package org.dogwoodwinch.daemon;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.scaling.EnginePool;
import org.dogwoodwinch.scaling.PoolOrders;
import org.dogwoodwinch.scaling.PoolOrders.DueOrder;
import org.dogwoodwinch.scaling.ScaleObservation;
import org.dogwoodwinch.scaling.ScaleOutcome;
import org.dogwoodwinch.scaling.ScalePlan;
import org.dogwoodwinch.scaling.ScalingLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the log lines about ordered engines. */
final class ScaleLog {

    private static final Logger log = LoggerFactory.getLogger(ScaleLog.class);

    private ScaleLog() {}

    static void logPlan(String service, ScalePlan plan, ScaleObservation observed, ScalingLimits limits) {
        int callsCount = observed.ready().stream()
                .mapToInt(engine -> observed.loadOf().apply(engine.id()).callsCount())
                .sum();
        LogEvent.of("scale_plan")
                .with("service", service)
                .with("plan", describe(plan.desiredCounts()))
                .with("previous", describe(observed.lastPlan().desiredCounts()))
                .with("ready", describe(observed.readyCounts()))
                .with("calls", callsCount)
                .with("unavailable", describe(observed.unavailableUntilMillis()))
                .with("min", limits.minCount())
                .with("max", limits.maxCount())
                .info(log);
    }

    static void logLease(String service, int dueCount, long expectedEnd, ConditionalLog.Appended appended) {
        LogEvent.of("scale_lease")
                .with("service", service)
                .with("orders", dueCount)
                .with("expectedEnd", LogPosition.describe(expectedEnd))
                .with("outcome", appended)
                .info(log);
    }

    static void logOrder(String service, DueOrder due, int listedCount, long token, ScaleOutcome outcome) {
        LogEvent.of("scale_ordered")
                .with("service", service)
                .with("dataCentre", due.pool().dataCentre())
                .with("kind", due.pool().kind())
                .with("desired", due.desiredCount())
                .with("listed", listedCount)
                .with("fencingToken", token)
                .with("outcome", outcome)
                .info(log);
    }

    static void logUnavailable(String service, EnginePool pool) {
        LogEvent.of("scale_pool_unavailable")
                .with("service", service)
                .with("dataCentre", pool.dataCentre())
                .with("kind", pool.kind())
                .with("pauseMillis", PoolOrders.UNAVAILABLE_MILLIS)
                .info(log);
    }

    static String describe(Map<EnginePool, ?> values) {
        return new TreeMap<>(values)
                .entrySet().stream()
                        .map(each ->
                                each.getKey().dataCentre() + "/" + each.getKey().kind() + ":" + each.getValue())
                        .collect(Collectors.joining(","));
    }
}
