package org.dogwoodwinch.daemon;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.StagePlanner;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.relay.EngineControl;
import org.dogwoodwinch.relay.OrderOutcome;
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders engines to change their stage when the planner finds it worthwhile. Confined to one event loop.
 *
 * <p>The relays of all data centres plan, so that each of them knows the loads when the ordering is assigned to it; one
 * of them sends orders. If two consider themselves assigned, the log decides: each order needs a record, which is
 * appended only if the log has the expected end.
 *
 * <p>Load: the other instances do not plan. Reading the loads of all engines four times a second in each of a hundred
 * instances took time from the callers' requests.
 */
final class StageOrders {

    /** The log that decides which instance may send an order; its offsets are the fencing tokens. */
    static final String TOPIC = "orders";

    private static final Logger log = LoggerFactory.getLogger(StageOrders.class);

    /** The loads change within some tenths of a second; a plan takes microseconds. */
    private static final long PLAN_INTERVAL_MILLIS = 250;

    /** An unanswered order may be executed many seconds later; the engine gets no other order until then. */
    private static final long UNKNOWN_OUTCOME_BLOCK_MILLIS = 20_000;

    /**
     * An engine completes its running requests before it changes its stage. Without an observed change it is excluded
     * no longer than this.
     */
    private static final long MAX_CHANGE_MILLIS = 15_000;

    /** Engines report with a delay, and each check costs a request. */
    private static final long STATE_CHECK_INTERVAL_MILLIS = 1_000;

    /** After a refusal, the list of targets shows the engine's actual state within this time. */
    private static final long REFUSAL_BLOCK_MILLIS = 5_000;

    private final Dependencies dependencies;
    private final TimeSource time;
    private final LogLease lease;
    private final Map<String, StagePlanner> planners = new HashMap<>();
    private final Map<String, Long> blockedUntilMillis = new HashMap<>();
    private boolean orderPending;

    /**
     * The collaborators.
     *
     * @param ownName this instance's name, not null
     * @param directory the listed targets, not null
     * @param loads the calls in progress at the targets, not null
     * @param modelServices the services of model engines, read for each plan, not null
     * @param switchMillis how long an engine of a service is unavailable during a change, not null
     * @param plannerFactory creates the planner of a service, not null
     * @param planningAssigned whether the ordering may soon be assigned to this instance, not null
     * @param orderingAssigned whether the ordering is assigned to this instance, not null
     * @param orderLog decides which instance may send an order, not null
     * @param engineControl sends requests to the engines, not null
     * @param stageChangePublisher notifies all instances that an engine is unavailable, not null
     */
    record Dependencies(
            String ownName,
            TargetDirectory directory,
            LoadTracker loads,
            Supplier<Set<String>> modelServices,
            ToLongFunction<String> switchMillis,
            Function<String, StagePlanner> plannerFactory,
            BooleanSupplier planningAssigned,
            BooleanSupplier orderingAssigned,
            ConditionalLog orderLog,
            EngineControl engineControl,
            StageChangePublisher stageChangePublisher) {}

    /** Notifies all instances that an engine is unavailable while it changes its stage. */
    @FunctionalInterface
    interface StageChangePublisher {

        /**
         * Publishes the start or the end of a stage change.
         *
         * @param engineId the engine's id, not null
         * @param durationMillis the time for which no calls are sent to it; zero if it is available again
         */
        void publish(String engineId, long durationMillis);
    }

    StageOrders(Dependencies dependencies, OrderLease lease, TimeSource time) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.lease = new LogLease(dependencies.orderLog(), lease, time);
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to plan. */
    void start() {
        long nowMillis = time.monotonicMillis();
        blockedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        if (dependencies.planningAssigned().getAsBoolean()) {
            dependencies.modelServices().get().forEach(service -> plan(service, nowMillis));
        } else {
            // Samples from an earlier assignment would be too old for a plan.
            planners.clear();
        }
        time.schedule(PLAN_INTERVAL_MILLIS, this::start);
    }

    private void plan(String service, long nowMillis) {
        StagePlanner planner = planners.computeIfAbsent(service, dependencies.plannerFactory());
        List<Incarnation> readyEngines = dependencies.directory().readyTargets(service);
        planner.planChange(
                        readyEngines,
                        dependencies.directory()::isRateLimited,
                        dependencies.loads()::totalAt,
                        id -> !blockedUntilMillis.containsKey(id),
                        nowMillis)
                .ifPresent(change -> prepareOrder(planner, change));
    }

    private void prepareOrder(StagePlanner planner, StagePlanner.StageChange change) {
        long nowMillis = time.monotonicMillis();
        blockedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        if (orderPending
                || blockedUntilMillis.containsKey(change.engine().id())
                || !dependencies.orderingAssigned().getAsBoolean()) {
            return;
        }
        OptionalLong expectedEnd = lease.claimableOffset();
        if (expectedEnd.isEmpty()) {
            return;
        }
        orderPending = true;
        dependencies.engineControl().orderState(change.engine()).thenAccept(state -> {
            orderPending = false;
            if (state.isEmpty() || state.get().busy() || state.get().stage() == change.stage()) {
                blockedUntilMillis.put(change.engine().id(), time.monotonicMillis() + REFUSAL_BLOCK_MILLIS);
                LogEvent.of("stage_not_ordered")
                        .with("target", change.engine().id())
                        .with("stage", change.stage())
                        .with("state", state)
                        .info(log);
                return;
            }
            claimLease(planner, change, state.get().ordersCount(), expectedEnd.getAsLong());
        });
    }

    private void claimLease(StagePlanner planner, StagePlanner.StageChange change, long ordersCount, long expectedEnd) {
        orderPending = true;
        lease.claim(Bytes.ofUtf8(dependencies.ownName()), expectedEnd).thenAccept(outcome -> {
            orderPending = false;
            LogEvent.of("order_lease")
                    .with("service", change.engine().service())
                    .with("target", change.engine().id())
                    .with("expectedEnd", expectedEnd)
                    .with("outcome", outcome.appended())
                    .info(log);
            outcome.claim()
                    .filter(lease::isValid)
                    .ifPresent(claim -> sendOrder(planner, change, ordersCount, claim.token()));
        });
    }

    private void sendOrder(StagePlanner planner, StagePlanner.StageChange change, long ordersCount, long token) {
        Incarnation engine = change.engine();
        long switchMillis = dependencies.switchMillis().applyAsLong(engine.service());
        orderPending = true;
        long orderedMillis = time.monotonicMillis();
        planner.recordOrdered(change, switchMillis, orderedMillis);
        dependencies.stageChangePublisher().publish(engine.id(), MAX_CHANGE_MILLIS);
        StageOrder order = new StageOrder(change.stage(), dependencies.ownName(), token, ordersCount);
        dependencies.engineControl().order(engine, order).thenAccept(outcome -> {
            orderPending = false;
            recordOutcome(engine, outcome);
            if (outcome == OrderOutcome.TAKEN || outcome == OrderOutcome.UNKNOWN) {
                time.schedule(STATE_CHECK_INTERVAL_MILLIS, () -> checkProgress(planner, change, orderedMillis, true));
            } else {
                planner.recordRejected(change);
            }
            LogEvent.of("stage_ordered")
                    .with("service", engine.service())
                    .with("target", engine.id())
                    .with("stage", change.stage())
                    .with("fencingToken", token)
                    .with("expectedOrders", ordersCount)
                    .with("outcome", outcome)
                    .with("seen", change.reason())
                    .info(log);
        });
    }

    /**
     * Checks the state of an engine that was sent an order until its list entry shows the new stage.
     *
     * <p>Failure: an engine completes its running requests and then changes, so it is unavailable for longer than the
     * change itself takes. If it is used again before that, it rejects every call, and it attracts all calls because it
     * has no load. An unanswered order may not have arrived, or may be executed seconds later.
     */
    private void checkProgress(
            StagePlanner planner, StagePlanner.StageChange change, long orderedMillis, boolean excluded) {
        String id = change.engine().id();
        long elapsedMillis = time.monotonicMillis() - orderedMillis;
        Optional<Incarnation> listed = dependencies.directory().find(id);
        boolean changeListed =
                listed.filter(engine -> engine.stage() != change.stage()).isEmpty();
        if (changeListed || elapsedMillis >= MAX_CHANGE_MILLIS) {
            return;
        }
        dependencies.engineControl().orderState(change.engine()).thenAccept(state -> {
            // An engine with the new stage stays excluded until its entry shows that stage: it rejects calls for the
            // old one.
            boolean unavailable = state.map(engineState -> engineState.busy() || engineState.stage() == change.stage())
                    .orElse(excluded);
            if (unavailable != excluded) {
                dependencies.stageChangePublisher().publish(id, unavailable ? MAX_CHANGE_MILLIS : 0);
                LogEvent.of("stage_change_seen")
                        .with("target", id)
                        .with("stage", change.stage())
                        .with("takesNothing", unavailable)
                        .with("sinceMillis", elapsedMillis)
                        .info(log);
                if (!unavailable) {
                    planner.recordRejected(change);
                }
            }
            time.schedule(
                    STATE_CHECK_INTERVAL_MILLIS, () -> checkProgress(planner, change, orderedMillis, unavailable));
        });
    }

    private void recordOutcome(Incarnation engine, OrderOutcome outcome) {
        long nowMillis = time.monotonicMillis();
        if (outcome == OrderOutcome.UNKNOWN) {
            blockedUntilMillis.put(engine.id(), nowMillis + UNKNOWN_OUTCOME_BLOCK_MILLIS);
        } else if (outcome != OrderOutcome.TAKEN) {
            blockedUntilMillis.put(engine.id(), nowMillis + REFUSAL_BLOCK_MILLIS);
            dependencies.stageChangePublisher().publish(engine.id(), 0);
        }
        if (outcome == OrderOutcome.FENCED) {
            lease.recordOtherHolder();
        }
    }
}
