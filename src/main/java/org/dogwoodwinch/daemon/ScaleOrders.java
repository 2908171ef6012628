package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.scaling.EngineKind;
import org.dogwoodwinch.scaling.EnginePool;
import org.dogwoodwinch.scaling.PoolOrders;
import org.dogwoodwinch.scaling.PoolOrders.DueOrder;
import org.dogwoodwinch.scaling.RecordedPlan;
import org.dogwoodwinch.scaling.ScaleDestination;
import org.dogwoodwinch.scaling.ScaleObservation;
import org.dogwoodwinch.scaling.ScaleOrder;
import org.dogwoodwinch.scaling.ScaleOutcome;
import org.dogwoodwinch.scaling.ScalePlan;
import org.dogwoodwinch.scaling.ScaleStrategy;
import org.dogwoodwinch.scaling.ScalingLimits;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders engines for the services that are scaled, on the one instance to which this is assigned. Confined to one event
 * loop.
 *
 * <p>Failure: two instances consider themselves assigned, or one is suspended between deciding and sending, and the
 * platform gets orders of two holders by turns, or one token from both. A plan is therefore appended to a log before its
 * orders are sent, only if the log ends where this instance last saw its end, and the record's offset is the fencing
 * token. All services share one log and one lease, so that tokens rise over all of them. A successor reads which plans
 * were decided, and sends those again under tokens of its own.
 *
 * <p>Failure: the store is away, or comes back from a copy. Without a record nothing is sent, and the engines stay as
 * they are. A plan of an earlier era is not sent again, because the copy may lack newer ones.
 */
final class ScaleOrders {

    /** The log of the plans, by service; its offsets are the fencing tokens. */
    static final String TOPIC = "keyed.scale-plans";

    private static final Logger log = LoggerFactory.getLogger(ScaleOrders.class);

    /** The loads change within some tenths of a second; a plan takes microseconds. */
    private static final long PLAN_INTERVAL_MILLIS = 250;

    /** Each try appends a billed record, and an engine takes seconds to start, so that a longer outage costs few tries. */
    private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

    /** Doublings of the interval between two tries, until the longest one is reached. */
    private static final int MAX_DOUBLINGS = 3;

    private final Dependencies dependencies;
    private final OrderLease lease;
    private final long holdersApartMillis;
    private final TimeSource time;
    private final Map<String, LogLease> leases = new HashMap<>();
    private final Map<String, ScaleStrategy> strategies = new HashMap<>();
    private final Map<String, PoolOrders> orders = new HashMap<>();
    private Optional<Map<String, ScalePlan>> lastPlans = Optional.empty();
    private Optional<Long> preparedSinceMillis = Optional.empty();
    private long retryAtMillis = Long.MIN_VALUE;
    private int failuresCount;
    private boolean pending;

    /**
     * The collaborators.
     *
     * @param ownName the name of this instance, not null
     * @param isAssigned whether the duty is assigned to this instance, not null
     * @param areTargetsKnown whether the list of targets was read, not null
     * @param scaledServices the limits of the services whose engines are ordered, by name, not null
     * @param readyTargets returns the targets of a service that accept calls, not null
     * @param loadOf returns the load of all instances at a target, by its id, not null
     * @param strategyFactory creates the strategy of a service, not null
     * @param plans the plans that were decided, by service, not null
     * @param planLog returns the log of a service's plans, in the same topic, not null
     * @param destination receives the orders, not null
     * @param metrics the metrics, not null
     */
    record Dependencies(
            String ownName,
            BooleanSupplier isAssigned,
            BooleanSupplier areTargetsKnown,
            Supplier<SortedMap<String, ScalingLimits>> scaledServices,
            Function<String, List<Incarnation>> readyTargets,
            Function<String, TargetLoad> loadOf,
            Supplier<ScaleStrategy> strategyFactory,
            KeyedStream plans,
            Function<String, ConditionalLog> planLog,
            ScaleDestination destination,
            ForwardingMetrics metrics) {}

    /** The plan that a service should have, and what was seen when it was decided. */
    private record Decision(
            String service, ScalePlan plan, ScalePlan previous, ScaleObservation observed, ScalingLimits limits) {

        boolean isNew() {
            return !plan.equals(previous);
        }
    }

    /**
     * Creates what orders engines.
     *
     * @param dependencies the collaborators, not null
     * @param lease keeps the orders of two holders apart, not null
     * @param holdersApartMillis the time for which this instance has to be prepared before its first order
     * @param time the clock and timers, not null
     */
    ScaleOrders(Dependencies dependencies, OrderLease lease, long holdersApartMillis, TimeSource time) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.holdersApartMillis = holdersApartMillis;
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to plan whenever the duty is assigned to this instance. */
    void start() {
        step();
        time.schedule(PLAN_INTERVAL_MILLIS, this::start);
    }

    /** Reads the plans anew, because the store came back from a copy and may have lost some. */
    void beginEra() {
        lastPlans = Optional.empty();
    }

    private void step() {
        SortedMap<String, ScalingLimits> services =
                dependencies.scaledServices().get();
        boolean isPrepared = !services.isEmpty()
                && dependencies.areTargetsKnown().getAsBoolean()
                && dependencies.isAssigned().getAsBoolean();
        if (!isPrepared) {
            giveUp();
            return;
        }
        long nowMillis = time.monotonicMillis();
        if (preparedSinceMillis.isEmpty()) {
            preparedSinceMillis = Optional.of(nowMillis);
        }
        strategies.keySet().retainAll(services.keySet());
        if (lastPlans.isEmpty()) {
            if (!pending && nowMillis >= retryAtMillis) {
                readPlans();
            }
            return;
        }
        Deque<Decision> decisions = new ArrayDeque<>();
        services.forEach((service, limits) -> decisions.add(decide(service, limits, nowMillis)));
        if (!pending && nowMillis >= retryAtMillis && nowMillis - preparedSinceMillis.get() >= holdersApartMillis) {
            carryOutNext(decisions);
        }
    }

    /** Another instance may plan and order from now on, so that what is known here becomes outdated. */
    private void giveUp() {
        if (preparedSinceMillis.isPresent()) {
            preparedSinceMillis = Optional.empty();
            lastPlans = Optional.empty();
            strategies.clear();
            dependencies.metrics().clearDesiredEngines();
        }
    }

    private void readPlans() {
        pending = true;
        readPage(Optional.empty(), new HashMap<>()).thenAccept(plans -> {
            pending = false;
            if (plans.isEmpty()) {
                delayRetry();
                return;
            }
            failuresCount = 0;
            lastPlans = plans;
            orders.values().forEach(PoolOrders::forgetConfirmed);
        });
    }

    /**
     * The end of the first page counts: if a plan was appended while the other pages were read, the next claim fails, and
     * all are read again.
     */
    private CompletionStage<Optional<Map<String, ScalePlan>>> readPage(
            Optional<String> afterKey, Map<String, ScalePlan> found) {
        return dependencies.plans().readSnapshotPage(afterKey).thenCompose(read -> {
            if (!(read instanceof ReadResult.Page page)) {
                LogEvent.of("scale_plans_not_read").with("result", read).info(log);
                return CompletableFuture.completedFuture(Optional.empty());
            }
            if (afterKey.isEmpty()) {
                // A log that has an end but no record was not read whole; it must not be taken for one without plans.
                if (page.records().isEmpty() && LogPosition.offset(page.endOffset()) != 0) {
                    LogEvent.of("scale_plans_missing")
                            .with("endOffset", LogPosition.describe(page.endOffset()))
                            .warn(log);
                    return CompletableFuture.completedFuture(Optional.empty());
                }
                lease.recordReadEnd(page.endOffset(), time.monotonicMillis());
            }
            page.records().forEach(each -> decode(each).ifPresent(plan -> found.put(each.key(), plan)));
            if (page.hasMore() && !page.records().isEmpty()) {
                String last = page.records().get(page.records().size() - 1).key();
                return readPage(Optional.of(last), found);
            }
            LogEvent.of("scale_plans_read").with("services", found.size()).info(log);
            return CompletableFuture.completedFuture(Optional.of(found));
        });
    }

    /** A plan that cannot be used counts as none: the engines stay as they are until a plan is decided. */
    private static Optional<ScalePlan> decode(KeyedRecord record) {
        if (record.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            RecordedPlan recorded = RecordedPlan.decode(record.value().get());
            boolean isCurrent = recorded.era() == LogPosition.era(record.offset());
            LogEvent.of(isCurrent ? "scale_plan_read" : "scale_plan_of_earlier_era")
                    .with("service", record.key())
                    .with("offset", LogPosition.describe(record.offset()))
                    .with("plan", describe(recorded.plan().desiredCounts()))
                    .info(log);
            return isCurrent ? Optional.of(recorded.plan()) : Optional.empty();
        } catch (IOException e) {
            LogEvent.of("scale_plan_not_understood")
                    .with("service", record.key())
                    .with("offset", LogPosition.describe(record.offset()))
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }

    private Decision decide(String service, ScalingLimits limits, long nowMillis) {
        List<Incarnation> ready = dependencies.readyTargets().apply(service);
        Map<EnginePool, Integer> readyCounts = ready.stream()
                .collect(Collectors.toMap(
                        engine -> new EnginePool(
                                engine.dataCentre(), engine.spot() ? EngineKind.SPOT : EngineKind.ON_DEMAND),
                        _engine -> 1,
                        Integer::sum));
        ScalePlan previous = lastPlans.map(plans -> plans.get(service)).orElse(ScalePlan.NONE);
        ScaleObservation observed = new ScaleObservation(
                ready,
                dependencies.loadOf(),
                previous,
                readyCounts,
                ordersOf(service).unavailableUntilMillis(nowMillis));
        ScalePlan plan = strategies
                .computeIfAbsent(
                        service, _service -> dependencies.strategyFactory().get())
                .plan(observed, limits, nowMillis)
                .orElse(previous);
        return new Decision(service, plan, previous, observed, limits);
    }

    private PoolOrders ordersOf(String service) {
        return orders.computeIfAbsent(service, _service -> new PoolOrders());
    }

    /** Records and orders one service after the other. A plan that could not be recorded is decided anew. */
    private void carryOutNext(Deque<Decision> decisions) {
        while (!decisions.isEmpty()) {
            Decision decision = decisions.remove();
            List<DueOrder> due = dueOrders(decision);
            if (decision.isNew() || !due.isEmpty()) {
                OptionalLong expectedEnd = lease.claimableOffset(time.monotonicMillis());
                if (expectedEnd.isPresent()) {
                    claim(decision, due, expectedEnd.getAsLong(), decisions);
                }
                return;
            }
        }
    }

    private List<DueOrder> dueOrders(Decision decision) {
        return ordersOf(decision.service())
                .due(
                        decision.plan(),
                        decision.observed().readyCounts(),
                        decision.limits().bootMillis(),
                        time.monotonicMillis());
    }

    private void claim(Decision decision, List<DueOrder> due, long expectedEnd, Deque<Decision> others) {
        String service = decision.service();
        if (decision.isNew()) {
            logPlan(decision);
        }
        LogLease log = leases.computeIfAbsent(
                service, name -> new LogLease(dependencies.planLog().apply(name), lease, time));
        RecordedPlan recorded = new RecordedPlan(LogPosition.era(expectedEnd), decision.plan());
        pending = true;
        log.claim(recorded.encode(), expectedEnd).thenAccept(outcome -> {
            logLease(decision, due.size(), expectedEnd, outcome.appended());
            if (outcome.claim().isEmpty()) {
                lastPlans = Optional.empty();
                pending = false;
                return;
            }
            lastPlans.ifPresent(plans -> plans.put(service, decision.plan()));
            showDesired(service, decision.plan());
            sendNext(new Sending(decision, log, outcome.claim().get(), new ArrayDeque<>(due), others));
        });
    }

    /** The orders that remain to be sent under a claim, and the services that follow. */
    private record Sending(
            Decision decision,
            LogLease lease,
            LogLease.Claim claim,
            Deque<DueOrder> remaining,
            Deque<Decision> others) {}

    /** Sends orders one after the other. What remains when the claim ends is due again in the next step. */
    private void sendNext(Sending sending) {
        if (lastPlans.isEmpty() || !sending.lease().isValid(sending.claim())) {
            pending = false;
            return;
        }
        DueOrder due = sending.remaining().poll();
        if (due == null) {
            failuresCount = 0;
            pending = false;
            carryOutNext(sending.others());
            return;
        }
        String service = sending.decision().service();
        dependencies
                .destination()
                .send(
                        dependencies.ownName(),
                        sending.claim().token(),
                        new ScaleOrder(service, due.pool(), due.desiredCount()))
                .thenAccept(outcome -> {
                    logOrder(sending, due, outcome);
                    dependencies.metrics().scaleOrdered(outcome.name());
                    ordersOf(service).recordOutcome(due, outcome, time.monotonicMillis());
                    continueAfter(outcome, due, sending);
                });
    }

    private void continueAfter(ScaleOutcome outcome, DueOrder due, Sending sending) {
        boolean isUnavailable = outcome == ScaleOutcome.CONFLICT && due.isIncrease();
        if (isUnavailable) {
            logUnavailable(sending.decision().service(), due.pool());
        }
        if (isUnavailable || outcome == ScaleOutcome.ACCEPTED) {
            sendNext(sending);
            return;
        }
        if (outcome == ScaleOutcome.CONFLICT) {
            // The platform refuses to release engines only if it has seen a higher token.
            sending.lease().recordOtherHolder();
            lastPlans = Optional.empty();
        }
        pending = false;
        delayRetry();
    }

    /** The first retry follows in the next step, later ones at growing intervals. */
    private void delayRetry() {
        long delayMillis = PLAN_INTERVAL_MILLIS << Math.min(failuresCount, MAX_DOUBLINGS);
        retryAtMillis =
                time.monotonicMillis() + (failuresCount == 0 ? 0 : Math.min(delayMillis, MAX_RETRY_DELAY_MILLIS));
        failuresCount++;
    }

    private void showDesired(String service, ScalePlan plan) {
        plan.desiredCounts()
                .forEach((pool, count) -> dependencies
                        .metrics()
                        .setDesiredEngines(
                                service, pool.dataCentre(), pool.kind().name(), count));
    }

    private static void logPlan(Decision decision) {
        ScaleObservation observed = decision.observed();
        LogEvent.of("scale_plan")
                .with("service", decision.service())
                .with("plan", describe(decision.plan().desiredCounts()))
                .with("previous", describe(decision.previous().desiredCounts()))
                .with("ready", describe(observed.readyCounts()))
                .with(
                        "calls",
                        observed.ready().stream()
                                .mapToInt(engine ->
                                        observed.loadOf().apply(engine.id()).callsCount())
                                .sum())
                .with("unavailable", describe(observed.unavailableUntilMillis()))
                .with("min", decision.limits().minCount())
                .with("max", decision.limits().maxCount())
                .info(log);
    }

    private static void logLease(Decision decision, int dueCount, long expectedEnd, ConditionalLog.Appended appended) {
        LogEvent.of("scale_lease")
                .with("service", decision.service())
                .with("orders", dueCount)
                .with("expectedEnd", LogPosition.describe(expectedEnd))
                .with("outcome", appended)
                .info(log);
    }

    private static void logOrder(Sending sending, DueOrder due, ScaleOutcome outcome) {
        LogEvent.of("scale_ordered")
                .with("service", sending.decision().service())
                .with("dataCentre", due.pool().dataCentre())
                .with("kind", due.pool().kind())
                .with("desired", due.desiredCount())
                .with("ready", sending.decision().observed().readyCounts().getOrDefault(due.pool(), 0))
                .with("fencingToken", sending.claim().token())
                .with("outcome", outcome)
                .info(log);
    }

    private static void logUnavailable(String service, EnginePool pool) {
        LogEvent.of("scale_pool_unavailable")
                .with("service", service)
                .with("dataCentre", pool.dataCentre())
                .with("kind", pool.kind())
                .with("pauseMillis", PoolOrders.UNAVAILABLE_MILLIS)
                .info(log);
    }

    private static String describe(Map<EnginePool, ?> values) {
        return new TreeMap<>(values)
                .entrySet().stream()
                        .map(each ->
                                each.getKey().dataCentre() + "/" + each.getKey().kind() + ":" + each.getValue())
                        .collect(Collectors.joining(","));
    }
}
