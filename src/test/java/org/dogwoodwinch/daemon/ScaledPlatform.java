package org.dogwoodwinch.daemon;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.scaling.EngineKind;
import org.dogwoodwinch.scaling.EnginePool;
import org.dogwoodwinch.scaling.ScaleObservation;
import org.dogwoodwinch.scaling.ScaleOrder;
import org.dogwoodwinch.scaling.ScaleOutcome;
import org.dogwoodwinch.scaling.ScalePlan;
import org.dogwoodwinch.scaling.ScalingLimits;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * A platform that checks no fencing token, with a store and engines, and the instances that order engines there. Answers
 * of the store and of orders are lost and late at will. Checks at each order what the platform expects of holders.
 */
final class ScaledPlatform {

    static final long HOLDERS_APART_MILLIS = 3_000;
    static final long BOOT_MILLIS = 4_000;

    private static final long TIMEOUT_MILLIS = 700;

    final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    final List<Received> received = new ArrayList<>();

    /** What was wrong with orders. It is not thrown, because the stages of the instances would hold the exception back. */
    final List<String> violations = new ArrayList<>();

    final TreeMap<String, ScalingLimits> services = new TreeMap<>();
    final Set<EnginePool> unavailable = new HashSet<>();
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(0);
    double faultRate;
    boolean storeIsAway;
    boolean dutyIsAway;
    boolean isFenced;

    /** An instance that dies as soon as its next record is written. */
    Instance killOnAppend;

    long appendMillis;
    int readsCount;
    int appendsCount;

    private final List<KeyedRecord> records = new ArrayList<>();
    private final Map<String, Map<EnginePool, Integer>> desired = new HashMap<>();
    private final Map<String, Map<EnginePool, Integer>> ready = new HashMap<>();
    private final Map<Long, String> holdersByToken = new HashMap<>();
    private final Set<List<Object>> sent = new HashSet<>();
    private long highestToken = -1;
    private long era;

    /** An order that was sent. */
    record Received(String holder, long token, ScaleOrder order, long atMillis) {}

    ScaledPlatform(String... serviceNames) {
        for (String name : serviceNames) {
            services.put(name, limits(name, 32));
        }
    }

    /** The prices name the service, by which the strategies of the tests know what they plan. */
    static ScalingLimits limits(String service, int maxCount) {
        return new ScalingLimits(0, maxCount, BOOT_MILLIS, OptionalDouble.of(0.22), Map.of(service, 1.0));
    }

    static EnginePool fixed(String dataCentre) {
        return new EnginePool(dataCentre, EngineKind.ON_DEMAND);
    }

    static EnginePool spot(String dataCentre) {
        return new EnginePool(dataCentre, EngineKind.SPOT);
    }

    /** One process of an instance. It wants the same plan until a test changes it. */
    final class Instance implements KeyedStream {

        final Map<String, ScalePlan> wanted = new HashMap<>();
        boolean isAssigned;
        boolean isAlive = true;
        boolean knowsTargets = true;
        ScaleObservation lastObserved;
        private final ScaleOrders orders;
        private long knownEra = era;

        Instance(String name) {
            this.orders = new ScaleOrders(
                    new ScaleOrders.Dependencies(
                            name,
                            () -> isAssigned && isAlive,
                            new ScaleOrders.Observed(
                                    () -> services,
                                    () -> knowsTargets,
                                    ScaledPlatform.this::readyEngines,
                                    () -> services.keySet().stream()
                                            .flatMap(service -> readyEngines(service).stream())
                                            .toList(),
                                    _id -> TargetLoad.EMPTY),
                            () -> this::plan,
                            this,
                            key -> (content, end) -> append(key, content, end),
                            this::send,
                            new ForwardingMetrics(new PrometheusRegistry())),
                    new OrderLease(1_000, HOLDERS_APART_MILLIS + 500),
                    HOLDERS_APART_MILLIS,
                    time);
            orders.start();
        }

        private Optional<ScalePlan> plan(ScaleObservation observed, ScalingLimits limits, long _nowMillis) {
            lastObserved = observed;
            String service = limits.priceByDataCentre().keySet().iterator().next();
            ScalePlan plan = wanted.getOrDefault(service, observed.lastPlan());
            Map<EnginePool, Integer> counts = new HashMap<>();
            plan.desiredCounts().forEach((pool, count) -> counts.put(pool, Math.min(count, limits.maxCount())));
            return Optional.of(new ScalePlan(counts)).filter(each -> !each.equals(observed.lastPlan()));
        }

        @Override
        public CompletionStage<ReadResult> readSnapshotPage(Optional<String> _afterKey) {
            readsCount++;
            if (!isAlive || storeIsAway || random.nextDouble() < faultRate) {
                return answerLate(new ReadResult.Unavailable("timeout"));
            }
            noticeEra();
            Map<String, KeyedRecord> newest = new LinkedHashMap<>();
            records.forEach(each -> newest.put(each.key(), each));
            return CompletableFuture.completedFuture(new ReadResult.Page(
                    newest.values().stream()
                            .map(each -> new KeyedRecord(
                                    each.key(), LogPosition.of(era, LogPosition.offset(each.offset())), each.value()))
                            .toList(),
                    false,
                    LogPosition.of(era, records.size())));
        }

        @Override
        public CompletionStage<ReadResult> read(long _fromOffset, long _waitMillis) {
            throw new UnsupportedOperationException("records are only read as a snapshot");
        }

        private CompletionStage<ConditionalLog.Appended> append(String key, Bytes content, long end) {
            appendsCount++;
            if (!isAlive || storeIsAway) {
                return answerLate(new ConditionalLog.Unknown("timeout"));
            }
            if (random.nextDouble() < faultRate) {
                time.schedule((long) (random.nextDouble() * 3_000), () -> write(key, content, end));
                return answerLate(new ConditionalLog.Unknown("timeout"));
            }
            noticeEra();
            ConditionalLog.Appended outcome = write(key, content, end);
            isAlive = killOnAppend != this;
            boolean isSuspended = random.nextDouble() < faultRate;
            return isSuspended
                    ? answerAfter((long) (random.nextDouble() * 10_000), outcome)
                    : answerAfter(appendMillis, outcome);
        }

        private CompletionStage<ScaleOutcome> send(String holder, long token, ScaleOrder order) {
            if (!isAlive) {
                return new CompletableFuture<>();
            }
            checkOrder(holder, token, order);
            if (isFenced) {
                return CompletableFuture.completedFuture(ScaleOutcome.CONFLICT);
            }
            double fault = random.nextDouble() / Math.max(faultRate, 1e-9);
            if (dutyIsAway || fault < 0.3) {
                return answerLate(ScaleOutcome.UNKNOWN);
            }
            if (fault < 0.6) {
                time.schedule((long) (random.nextDouble() * 8_000), () -> execute(order));
                return answerLate(ScaleOutcome.UNKNOWN);
            }
            if (fault < 0.8) {
                return CompletableFuture.completedFuture(ScaleOutcome.REJECTED);
            }
            return answerAfter(fault < 1 ? TIMEOUT_MILLIS - 1 : 0, execute(order));
        }

        /** The client of the store notices a new era in an answer, before the answer is handed on. */
        void noticeEra() {
            if (knownEra != era) {
                knownEra = era;
                orders.beginEra();
            }
        }
    }

    private ConditionalLog.Appended write(String key, Bytes content, long end) {
        if (LogPosition.offset(end) != records.size()) {
            return new ConditionalLog.EndOffsetMismatch(LogPosition.of(era, records.size()));
        }
        records.add(new KeyedRecord(key, records.size(), Optional.of(content)));
        return new ConditionalLog.Written(LogPosition.of(era, records.size() - 1));
    }

    private <T> CompletionStage<T> answerLate(T answer) {
        return answerAfter(TIMEOUT_MILLIS, answer);
    }

    private <T> CompletionStage<T> answerAfter(long delayMillis, T answer) {
        CompletableFuture<T> later = new CompletableFuture<>();
        if (delayMillis == 0) {
            later.complete(answer);
        } else {
            time.schedule(delayMillis, () -> later.complete(answer));
        }
        return later;
    }

    ScaleOutcome execute(ScaleOrder order) {
        EnginePool pool = order.pool();
        Map<EnginePool, Integer> desiredCounts = desired.computeIfAbsent(order.service(), _service -> new HashMap<>());
        Map<EnginePool, Integer> readyCounts = readyCounts(order.service());
        int readyCount = readyCounts.getOrDefault(pool, 0);
        if (order.desiredCount() > readyCount && unavailable.contains(pool)) {
            return ScaleOutcome.CONFLICT;
        }
        desiredCounts.put(pool, order.desiredCount());
        readyCounts.put(pool, Math.min(readyCount, order.desiredCount()));
        time.schedule(
                BOOT_MILLIS,
                () -> readyCounts.merge(pool, Math.min(order.desiredCount(), desiredCounts.get(pool)), Math::max));
        return ScaleOutcome.ACCEPTED;
    }

    /** Checks that tokens never fall, have one holder and one order for each pool, and that holders take no turns. */
    private void checkOrder(String holder, long token, ScaleOrder order) {
        String text = holder + " sends " + order + " with token " + LogPosition.describe(token);
        if (token < highestToken) {
            violations.add(text + " after " + LogPosition.describe(highestToken));
        }
        if (!holdersByToken.merge(token, holder, (before, _holder) -> before).equals(holder)) {
            violations.add(text + " of another holder");
        }
        if (!sent.add(Arrays.asList(token, order.service(), order.pool()))) {
            violations.add(text + " twice");
        }
        highestToken = token;
        boolean changed = false;
        for (int i = received.size() - 1; i >= 0; i--) {
            Received earlier = received.get(i);
            if (time.monotonicMillis() - earlier.atMillis() > HOLDERS_APART_MILLIS) {
                break;
            }
            changed |= !earlier.holder().equals(holder);
            if (changed && earlier.holder().equals(holder)) {
                violations.add(text + " soon after another holder");
            }
        }
        received.add(new Received(holder, token, order, time.monotonicMillis()));
    }

    Map<EnginePool, Integer> readyCounts(String service) {
        return ready.computeIfAbsent(service, _service -> new HashMap<>());
    }

    Map<EnginePool, Integer> desiredCounts(String service) {
        return Map.copyOf(desired.getOrDefault(service, Map.of()));
    }

    private List<Incarnation> readyEngines(String service) {
        List<Incarnation> engines = new ArrayList<>();
        readyCounts(service).forEach((pool, count) -> {
            for (int i = 0; i < count; i++) {
                boolean isSpot = pool.kind() == EngineKind.SPOT;
                engines.add(new Incarnation(
                        "e" + engines.size(),
                        service,
                        "10.0.0.1",
                        80,
                        pool.dataCentre(),
                        64,
                        false,
                        Stage.DECODE,
                        1,
                        1,
                        "v1",
                        isSpot));
            }
        });
        return engines;
    }

    /** Comes back from a copy that lacks the last records. */
    void loseLastRecords(int count) {
        records.subList(Math.max(0, records.size() - count), records.size()).clear();
        era++;
    }

    /** Writes a record that is not understood. */
    void writeDamagedRecord(String service) {
        records.add(new KeyedRecord(service, records.size(), Optional.of(Bytes.ofUtf8("damaged"))));
    }
}
