package org.dogwoodwinch.daemon;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collector;
import java.util.stream.Collectors;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.TargetLoad;
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

    /** Interval between two plans: the loads change within some tenths of a second. */
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
    private final ScalePlanReader reader;
    private Optional<Map<String, ScalePlan>> lastPlans = Optional.empty();
    private boolean isReadNeeded = true;
    private Optional<Long> preparedSinceMillis = Optional.empty();
    private long retryAtMillis = Long.MIN_VALUE;
    private int failuresCount;
    private boolean pending;

    /**
     * What is known of the services and their engines.
     *
     * @param scaledServices the limits of the services whose engines are ordered, by name, not null
     * @param areTargetsKnown whether the list of targets was read, not null
     * @param readyTargets returns the targets of a service that accept calls, not null
     * @param listedTargets returns all listed targets, draining or not, not null
     * @param loadOf returns the load of all instances at a target, by its id, not null
     */
    record Observed(
            Supplier<SortedMap<String, ScalingLimits>> scaledServices,
            BooleanSupplier areTargetsKnown,
            Function<String, List<Incarnation>> readyTargets,
            Supplier<List<Incarnation>> listedTargets,
            Function<String, TargetLoad> loadOf) {}

    /**
     * The collaborators.
     *
     * @param ownName the name of this instance, not null
     * @param isAssigned whether the duty is assigned to this instance, not null
     * @param observed what is known of the services and their engines, not null
     * @param strategyFactory creates the strategy of a service, not null
     * @param plans the plans that were decided, by service, not null
     * @param planLog returns the log of a service's plans, in the same topic, not null
     * @param destination receives the orders, not null
     * @param metrics the metrics, not null
     */
    record Dependencies(
            String ownName,
            BooleanSupplier isAssigned,
            Observed observed,
            Supplier<ScaleStrategy> strategyFactory,
            KeyedStream plans,
            Function<String, ConditionalLog> planLog,
            ScaleDestination destination,
            ForwardingMetrics metrics) {}

    /** The plan that a service should have, and what was seen when it was decided. */
    private record Decision(
            String service,
            ScalePlan plan,
            ScaleObservation observed,
            ScalingLimits limits,
            Map<EnginePool, Integer> listedCounts) {

        boolean isNew() {
            return !plan.equals(observed.lastPlan());
        }
    }

    /**
     * Creates an instance that sends nothing before {@link #start}.
     *
     * @param dependencies the collaborators, not null
     * @param lease keeps the orders of two holders apart, not null
     * @param holdersApartMillis the time for which this instance has to be prepared before its first order
     * @param time the clock and timers, not null
     */
    ScaleOrders(Dependencies dependencies, OrderLease lease, long holdersApartMillis, TimeSource time) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.reader = new ScalePlanReader(dependencies.plans());
        this.holdersApartMillis = holdersApartMillis;
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to plan whenever the duty is assigned to this instance. */
    void start() {
        time.schedule(PLAN_INTERVAL_MILLIS, this::start);
        step();
    }

    /** Reads the plans anew, because the store came back from a copy and may have lost some. */
    void beginEra() {
        isReadNeeded = true;
    }

    private void step() {
        SortedMap<String, ScalingLimits> services =
                dependencies.observed().scaledServices().get();
        boolean isPrepared = !services.isEmpty()
                && dependencies.observed().areTargetsKnown().getAsBoolean()
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
        if (isReadNeeded && !pending && nowMillis >= retryAtMillis) {
            readPlans();
        }
        if (lastPlans.isEmpty()) {
            return;
        }
        // A strategy goes on to observe while the store is away, so that it knows the demand when the store is back.
        Map<String, Map<EnginePool, Integer>> listedCounts = countListed();
        Deque<Decision> decisions = new ArrayDeque<>();
        services.forEach((service, limits) ->
                decisions.add(decide(service, limits, listedCounts.getOrDefault(service, Map.of()), nowMillis)));
        if (!pending
                && !isReadNeeded
                && nowMillis >= retryAtMillis
                && nowMillis - preparedSinceMillis.get() >= holdersApartMillis) {
            carryOutNext(decisions);
        }
    }

    /** Discards the plans and strategies, because another instance may plan and order from now on. */
    private void giveUp() {
        if (preparedSinceMillis.isPresent()) {
            preparedSinceMillis = Optional.empty();
            lastPlans = Optional.empty();
            isReadNeeded = true;
            strategies.clear();
            dependencies.metrics().clearDesiredEngines();
        }
    }

    private void readPlans() {
        pending = true;
        reader.read().thenAccept(read -> {
            pending = false;
            if (preparedSinceMillis.isEmpty()) {
                return;
            }
            if (read.isEmpty()) {
                delayRetry();
                return;
            }
            failuresCount = 0;
            isReadNeeded = false;
            lease.recordReadEnd(read.get().endOffset(), time.monotonicMillis());
            lastPlans = Optional.of(new HashMap<>(read.get().byService()));
            // Another holder may have sent orders since.
            orders.values().forEach(PoolOrders::forgetConfirmed);
        });
    }

    /** Counts the listed engines, including those that change their stage or that this instance cannot reach. */
    private Map<String, Map<EnginePool, Integer>> countListed() {
        return dependencies.observed().listedTargets().get().stream()
                .filter(target -> !target.draining())
                .collect(Collectors.groupingBy(Incarnation::service, countByPool()));
    }

    private static Collector<Incarnation, ?, Map<EnginePool, Integer>> countByPool() {
        return Collectors.toMap(
                engine -> new EnginePool(engine.dataCentre(), engine.spot() ? EngineKind.SPOT : EngineKind.ON_DEMAND),
                _engine -> 1,
                Integer::sum);
    }

    private Decision decide(
            String service, ScalingLimits limits, Map<EnginePool, Integer> listedCounts, long nowMillis) {
        List<Incarnation> ready = dependencies.observed().readyTargets().apply(service);
        ScalePlan previous = lastPlans.map(plans -> plans.get(service)).orElse(ScalePlan.NONE);
        ScaleObservation observed = new ScaleObservation(
                ready,
                dependencies.observed().loadOf(),
                previous,
                ready.stream().collect(countByPool()),
                ordersOf(service).unavailableUntilMillis(nowMillis));
        ScalePlan plan = strategies
                .computeIfAbsent(
                        service, _service -> dependencies.strategyFactory().get())
                .plan(observed, limits, nowMillis)
                .orElse(previous);
        return new Decision(service, plan, observed, limits, listedCounts);
    }

    private PoolOrders ordersOf(String service) {
        return orders.computeIfAbsent(service, _service -> new PoolOrders());
    }

    /** Records and orders one service after the other. A plan that could not be recorded is decided anew. */
    private void carryOutNext(Deque<Decision> decisions) {
        while (!decisions.isEmpty() && !isReadNeeded) {
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
                .due(decision.plan(), decision.listedCounts(), decision.limits().bootMillis(), time.monotonicMillis());
    }

    private void claim(Decision decision, List<DueOrder> due, long expectedEnd, Deque<Decision> others) {
        String service = decision.service();
        if (decision.isNew()) {
            ScaleLog.logPlan(service, decision.plan(), decision.observed(), decision.limits());
        }
        LogLease planLease = leases.computeIfAbsent(
                service, name -> new LogLease(dependencies.planLog().apply(name), lease, time));
        RecordedPlan recorded = new RecordedPlan(LogPosition.era(expectedEnd), decision.plan());
        pending = true;
        planLease.claim(recorded.encode(), expectedEnd).thenAccept(outcome -> {
            ScaleLog.logLease(service, due.size(), expectedEnd, outcome.appended());
            pending = false;
            if (outcome.claim().isEmpty()) {
                isReadNeeded = true;
            } else if (!isReadNeeded) {
                lastPlans.ifPresent(plans -> plans.put(service, decision.plan()));
                showDesired(service, decision.plan());
                sendNext(new Sending(decision, planLease, outcome.claim().get(), new ArrayDeque<>(due), others));
            }
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
        if (isReadNeeded || !sending.lease().isValid(sending.claim())) {
            return;
        }
        DueOrder due = sending.remaining().poll();
        if (due == null) {
            failuresCount = 0;
            carryOutNext(sending.others());
            return;
        }
        String service = sending.decision().service();
        pending = true;
        dependencies
                .destination()
                .send(
                        dependencies.ownName(),
                        sending.claim().token(),
                        new ScaleOrder(service, due.pool(), due.desiredCount()))
                .thenAccept(outcome -> {
                    pending = false;
                    int listedCount = sending.decision().listedCounts().getOrDefault(due.pool(), 0);
                    ScaleLog.logOrder(service, due, listedCount, sending.claim().token(), outcome);
                    dependencies.metrics().scaleOrdered(outcome.name());
                    ordersOf(service).recordOutcome(due, outcome, time.monotonicMillis());
                    continueAfter(outcome, due, sending);
                });
    }

    private void continueAfter(ScaleOutcome outcome, DueOrder due, Sending sending) {
        boolean isUnavailable = outcome == ScaleOutcome.CONFLICT && due.isIncrease();
        if (isUnavailable) {
            ScaleLog.logUnavailable(sending.decision().service(), due.pool());
        }
        if (isUnavailable || outcome == ScaleOutcome.ACCEPTED) {
            sendNext(sending);
            return;
        }
        if (outcome == ScaleOutcome.CONFLICT) {
            // The platform refuses to release engines only if it has seen a higher token.
            sending.lease().recordOtherHolder();
            isReadNeeded = true;
        }
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
}
