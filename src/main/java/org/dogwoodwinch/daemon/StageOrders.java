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
 * Orders engines to change their stage where the planner finds it worth it. Used on one event loop alone.
 *
 * <p>The relays of the data centres plan, so that whichever becomes the giver of orders knows the loads; one of them
 * orders. Should two take themselves for the giver, the log decides: a record for each order, written only where the log
 * ends as expected. All others plan nothing: a look at all engines four times a second, in each of a hundred instances,
 * was time that their callers did not get.
 */
final class StageOrders {

    /** The log that decides who may give an order; its offsets are the fencing tokens. */
    static final String TOPIC = "orders";

    private static final Logger log = LoggerFactory.getLogger(StageOrders.class);

    /** The loads change within some tenths of a second; a plan costs microseconds. */
    private static final long PLAN_INTERVAL_MILLIS = 250;

    /** An order without an answer may be carried out many seconds later; its engine gets no other one meanwhile. */
    private static final long UNKNOWN_OUTCOME_BLOCK_MILLIS = 20_000;

    /** An engine finishes what it runs before it changes its stage; no longer than this is it left alone without a sign. */
    private static final long MAX_CHANGE_MILLIS = 15_000;

    /** Engines report with a lag; each look costs a question. */
    private static final long STATE_CHECK_INTERVAL_MILLIS = 1_000;

    /** After a refusal the list of targets tells how the engine really stands. */
    private static final long REFUSAL_BLOCK_MILLIS = 5_000;

    private final Dependencies dependencies;
    private final TimeSource time;
    private final OrderLease lease;
    private final Map<String, StagePlanner> planners = new HashMap<>();
    private final Map<String, Long> blockedUntilMillis = new HashMap<>();
    private boolean orderPending;

    /**
     * What it needs.
     *
     * @param ownName this instance's name, not null
     * @param directory the targets, not null
     * @param loads what is under way at them, not null
     * @param modelServices the services of model engines, asked each time, not null
     * @param switchMillis how long an engine of a service is away, not null
     * @param plannerFactory makes a planner for a service, not null
     * @param planningAssigned whether the orders may soon fall to this instance, not null
     * @param orderingAssigned whether the orders fall to this instance, not null
     * @param orderLog decides who may give an order, not null
     * @param engineControl reaches the engines, not null
     * @param stageChangePublisher tells all instances that an engine is away, not null
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

    /** Tells that an engine is away. */
    @FunctionalInterface
    interface StageChangePublisher {

        /**
         * Tells.
         *
         * @param engineId the engine, not null
         * @param durationMillis for how long
         */
        void publish(String engineId, long durationMillis);
    }

    StageOrders(Dependencies dependencies, OrderLease lease, TimeSource time) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Plans from now on. */
    void start() {
        long nowMillis = time.monotonicMillis();
        blockedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        if (dependencies.planningAssigned().getAsBoolean()) {
            dependencies.modelServices().get().forEach(service -> plan(service, nowMillis));
        } else {
            // What was seen before it had the duty is too old to plan by.
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
        OptionalLong expectedEnd = lease.claimableOffset(nowMillis);
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
        long sentMillis = time.monotonicMillis();
        long sentWallMillis = time.wallMillis();
        dependencies.orderLog().append(Bytes.ofUtf8(dependencies.ownName()), expectedEnd).thenAccept(appended -> {
            orderPending = false;
            LogEvent.of("order_lease")
                    .with("service", change.engine().service())
                    .with("target", change.engine().id())
                    .with("expectedEnd", expectedEnd)
                    .with("outcome", appended)
                    .info(log);
            if (appended instanceof ConditionalLog.Written written) {
                lease.recordWritten(written.offset());
                if (lease.isValid(time.monotonicMillis() - sentMillis, time.wallMillis() - sentWallMillis)) {
                    sendOrder(planner, change, ordersCount, written.offset());
                }
            } else if (appended instanceof ConditionalLog.EndOffsetMismatch mismatch) {
                lease.recordForeignEnd(mismatch.endOffset(), time.monotonicMillis());
            } else {
                lease.recordUnknownOutcome(time.monotonicMillis());
            }
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
     * Looks how an engine stands that was ordered, until its list entry tells.
     *
     * <p>Failure: an engine finishes what it runs and is away after that, longer than the change itself takes. Taken back
     * into use before, it rejects all that comes, and as nothing is under way there everything comes. And an order without an
     * answer may not have arrived, or be carried out seconds later.
     */
    private void checkProgress(StagePlanner planner, StagePlanner.StageChange change, long orderedMillis, boolean excluded) {
        String id = change.engine().id();
        long elapsedMillis = time.monotonicMillis() - orderedMillis;
        Optional<Incarnation> listed = dependencies.directory().find(id);
        boolean changeListed =
                listed.filter(engine -> engine.stage() != change.stage()).isEmpty();
        if (changeListed || elapsedMillis >= MAX_CHANGE_MILLIS) {
            return;
        }
        dependencies.engineControl().orderState(change.engine()).thenAccept(state -> {
            // With its new stage it is left alone until its entry says so: what it is listed for, it takes no more.
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
            time.schedule(STATE_CHECK_INTERVAL_MILLIS, () -> checkProgress(planner, change, orderedMillis, unavailable));
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
            lease.recordUnknownOutcome(nowMillis);
        }
    }
}
