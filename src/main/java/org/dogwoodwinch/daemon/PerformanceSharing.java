package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PerformanceReport;
import org.dogwoodwinch.forwarding.TargetPerformance;
import org.dogwoodwinch.forwarding.TargetStanding;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes to all instances what one of them has observed of targets that stand out, and logs which targets stand out
 * here.
 *
 * <p>Load: an instance of a large fleet calls one engine once in many seconds, and would detect a slow engine only
 * after the slowness is over. The observations of all instances together suffice within a second or two.
 *
 * <p>The reports of all instances together are bounded, since each instance receives all of them: the more instances
 * there are, the fewer reports each of them publishes. They are published with the other messages of a round.
 */
final class PerformanceSharing {

    private static final Logger log = LoggerFactory.getLogger(PerformanceSharing.class);

    /** The reports of the whole fleet in a second; with some 60 bytes each, they take 2.4 KB a second of each link. */
    private static final double FLEET_REPORTS_PER_SECOND = 40;

    /** An instance that starts receives the observations that still have most of their weight. */
    private static final long TTL_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int FIELD_COUNT = 6;

    private final TargetPerformance performance;
    private final RelayExchange exchange;
    private final Supplier<List<Incarnation>> targets;
    private final Function<String, Optional<Incarnation>> findTarget;
    private final IntSupplier instancesCount;
    private final ForwardingMetrics metrics;
    private final TimeSource time;
    private final Map<String, TargetStanding> standings = new HashMap<>();
    private double allowedReports;
    private long refilledMillis;

    PerformanceSharing(
            TargetPerformance performance,
            RelayExchange exchange,
            Supplier<List<Incarnation>> targets,
            Function<String, Optional<Incarnation>> findTarget,
            IntSupplier instancesCount,
            ForwardingMetrics metrics,
            TimeSource time) {
        this.performance = Objects.requireNonNull(performance, "performance");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.targets = Objects.requireNonNull(targets, "targets");
        this.findTarget = Objects.requireNonNull(findTarget, "findTarget");
        this.instancesCount = Objects.requireNonNull(instancesCount, "instancesCount");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to send and receive observations. */
    void start() {
        refilledMillis = time.monotonicMillis();
        exchange.subscribe(PeerTopic.TARGET_PERFORMANCE, this::onUpdate);
        exchange.beforeEachRound(this::publishRound);
    }

    private void publishRound() {
        long nowMillis = time.monotonicMillis();
        List<Incarnation> listed = targets.get();
        performance.retain(listed, nowMillis);
        logChanges(listed, nowMillis);
        double refill = FLEET_REPORTS_PER_SECOND / Math.max(1, instancesCount.getAsInt());
        // An instance that has published none for a while publishes those of a second at once, and at least one.
        allowedReports = Math.min(
                Math.max(1, refill), allowedReports + refill * (nowMillis - refilledMillis) / MILLIS_PER_SECOND);
        refilledMillis = nowMillis;
        List<PerformanceReport> reports = performance.takeReports((int) allowedReports, nowMillis);
        allowedReports -= reports.size();
        reports.forEach(report ->
                exchange.publish(PeerTopic.TARGET_PERFORMANCE, report.targetId(), encode(report), TTL_MILLIS));
    }

    private void onUpdate(PeerUpdate update) {
        try {
            PerformanceReport report = decode(update);
            findTarget
                    .apply(report.targetId())
                    .ifPresent(current -> performance.addReport(current, report, time.monotonicMillis()));
        } catch (IOException e) {
            LogEvent.of("target_performance_not_understood")
                    .with("peer", update.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void logChanges(List<Incarnation> listed, long nowMillis) {
        Map<String, TargetStanding> current = new HashMap<>();
        for (Incarnation target : listed) {
            TargetStanding standing = performance.standing(target, nowMillis);
            if (standing.standsOut()) {
                current.put(target.id(), standing);
            }
        }
        current.forEach((id, standing) -> {
            if (!standings.containsKey(id)) {
                log(eventName(standing), id, standing, nowMillis);
            }
        });
        standings.keySet().stream()
                .filter(id -> !current.containsKey(id))
                .forEach(id -> log("target_recovered", id, TargetStanding.EQUAL, nowMillis));
        standings.clear();
        standings.putAll(current);
        metrics.setUnequalTargets(
                current.values().stream().filter(TargetStanding::isSlow).count(),
                current.values().stream()
                        .filter(standing -> standing.failureShare() > 0)
                        .count());
    }

    private static String eventName(TargetStanding standing) {
        if (standing.failureShare() > 0) {
            return "target_failing";
        }
        return standing.isSlow() ? "target_slow" : "target_fast";
    }

    private void log(String event, String targetId, TargetStanding standing, long nowMillis) {
        LogEvent.of(event)
                .with("target", targetId)
                .with("ratio", standing.timeRatio())
                .with("failures", standing.failureShare())
                .with("weight", performance.weight(targetId, nowMillis))
                .with("ageMillis", performance.ageMillis(targetId, nowMillis))
                .info(log);
    }

    private static Bytes encode(PerformanceReport report) {
        return Packing.pack(report, (packer, value) -> {
            packer.packArrayHeader(FIELD_COUNT);
            packer.packLong(value.startedMillis());
            packer.packFloat((float) value.logRatioSum());
            packer.packFloat((float) value.timesWeight());
            packer.packFloat((float) value.failuresWeight());
            packer.packLong(value.spanMillis());
            packer.packLong(value.ageMillis());
        });
    }

    private static PerformanceReport decode(PeerUpdate update) throws IOException {
        return Packing.unpack(update.payload().toByteArray(), unpacker -> {
            Packing.expectFields(unpacker, FIELD_COUNT);
            long startedMillis = unpacker.unpackLong();
            double logRatioSum = unpacker.unpackFloat();
            double timesWeight = unpacker.unpackFloat();
            double failuresWeight = unpacker.unpackFloat();
            long spanMillis = unpacker.unpackLong();
            return new PerformanceReport(
                    update.key(),
                    startedMillis,
                    logRatioSum,
                    timesWeight,
                    failuresWeight,
                    spanMillis,
                    unpacker.unpackLong() + update.ageMillis());
        });
    }
}
