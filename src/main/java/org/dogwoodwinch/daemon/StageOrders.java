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
    private static final long PLAN_EVERY_MILLIS = 250;

    /** An order without an answer may be carried out many seconds later; its engine gets no other one meanwhile. */
    private static final long UNKNOWN_ORDER_MILLIS = 20_000;

    /** An engine finishes what it runs before it changes its stage; no longer than this is it left alone without a sign. */
    private static final long LONGEST_CHANGE_MILLIS = 15_000;

    /** Engines report with a lag; each look costs a question. */
    private static final long LOOK_EVERY_MILLIS = 1_000;

    /** After a refusal the list of targets tells how the engine really stands. */
    private static final long REFUSED_MILLIS = 5_000;

    private final Parts parts;
    private final TimeSource time;
    private final OrderLease lease;
    private final Map<String, StagePlanner> planners = new HashMap<>();
    private final Map<String, Long> notBeforeMillis = new HashMap<>();
    private boolean ordering;

    /**
     * What it needs.
     *
     * @param ownName this instance's name, not null
     * @param directory the targets, not null
     * @param loads what is under way at them, not null
     * @param services the services of model engines, asked each time, not null
     * @param switchMillis how long an engine of a service is away, not null
     * @param planners makes a planner for a service, not null
     * @param watcher whether the orders may soon fall to this instance, not null
     * @param giver whether the orders fall to this instance, not null
     * @param log decides who may give an order, not null
     * @param control reaches the engines, not null
     * @param away tells all instances that an engine is away, not null
     */
    record Parts(
            String ownName,
            TargetDirectory directory,
            LoadTracker loads,
            Supplier<Set<String>> services,
            ToLongFunction<String> switchMillis,
            Function<String, StagePlanner> planners,
            BooleanSupplier watcher,
            BooleanSupplier giver,
            ConditionalLog log,
            EngineControl control,
            AwayRelay away) {}

    /** Tells that an engine is away. */
    @FunctionalInterface
    interface AwayRelay {

        /**
         * Tells.
         *
         * @param engineId the engine, not null
         * @param millis for how long
         */
        void tell(String engineId, long millis);
    }

    StageOrders(Parts parts, OrderLease lease, TimeSource time) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Plans from now on. */
    void start() {
        long nowMillis = time.monotonicMillis();
        notBeforeMillis.values().removeIf(until -> until <= nowMillis);
        if (parts.watcher().getAsBoolean()) {
            parts.services().get().forEach(service -> plan(service, nowMillis));
        } else {
            // What was seen before it had the duty is too old to plan by.
            planners.clear();
        }
        time.schedule(PLAN_EVERY_MILLIS, this::start);
    }

    private void plan(String service, long nowMillis) {
        StagePlanner planner = planners.computeIfAbsent(service, parts.planners());
        List<Incarnation> ready = parts.directory().readyTargets(service);
        planner.planChange(
                        ready,
                        parts.directory()::isRateLimited,
                        parts.loads()::totalAt,
                        id -> !notBeforeMillis.containsKey(id),
                        nowMillis)
                .ifPresent(change -> consider(planner, change));
    }

    private void consider(StagePlanner planner, StagePlanner.StageChange change) {
        long nowMillis = time.monotonicMillis();
        notBeforeMillis.values().removeIf(until -> until <= nowMillis);
        if (ordering
                || notBeforeMillis.containsKey(change.engine().id())
                || !parts.giver().getAsBoolean()) {
            return;
        }
        OptionalLong end = lease.claimableOffset(nowMillis);
        if (end.isEmpty()) {
            return;
        }
        ordering = true;
        parts.control().orderState(change.engine()).thenAccept(state -> {
            ordering = false;
            if (state.isEmpty() || state.get().busy() || state.get().stage() == change.stage()) {
                notBeforeMillis.put(change.engine().id(), time.monotonicMillis() + REFUSED_MILLIS);
                LogEvent.of("stage_not_ordered")
                        .with("target", change.engine().id())
                        .with("stage", change.stage())
                        .with("state", state)
                        .info(log);
                return;
            }
            claim(planner, change, state.get().ordersCount(), end.getAsLong());
        });
    }

    private void claim(StagePlanner planner, StagePlanner.StageChange change, long ordersCount, long end) {
        ordering = true;
        long sentMillis = time.monotonicMillis();
        long sentWallMillis = time.wallMillis();
        parts.log().append(Bytes.ofUtf8(parts.ownName()), end).thenAccept(appended -> {
            ordering = false;
            LogEvent.of("order_lease")
                    .with("service", change.engine().service())
                    .with("target", change.engine().id())
                    .with("expectedEnd", end)
                    .with("outcome", appended)
                    .info(log);
            if (appended instanceof ConditionalLog.Written written) {
                lease.recordWritten(written.offset());
                if (lease.isValid(time.monotonicMillis() - sentMillis, time.wallMillis() - sentWallMillis)) {
                    order(planner, change, ordersCount, written.offset());
                }
            } else if (appended instanceof ConditionalLog.EndOffsetMismatch elsewhere) {
                lease.recordForeignEnd(elsewhere.endOffset(), time.monotonicMillis());
            } else {
                lease.recordUnknownOutcome(time.monotonicMillis());
            }
        });
    }

    private void order(StagePlanner planner, StagePlanner.StageChange change, long ordersCount, long token) {
        Incarnation engine = change.engine();
        long awayMillis = parts.switchMillis().applyAsLong(engine.service());
        ordering = true;
        long orderedMillis = time.monotonicMillis();
        planner.recordOrdered(change, awayMillis, orderedMillis);
        parts.away().tell(engine.id(), LONGEST_CHANGE_MILLIS);
        StageOrder order = new StageOrder(change.stage(), parts.ownName(), token, ordersCount);
        parts.control().order(engine, order).thenAccept(outcome -> {
            ordering = false;
            took(engine, outcome);
            if (outcome == OrderOutcome.TAKEN || outcome == OrderOutcome.UNKNOWN) {
                time.schedule(LOOK_EVERY_MILLIS, () -> look(planner, change, orderedMillis, true));
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
    private void look(StagePlanner planner, StagePlanner.StageChange change, long orderedMillis, boolean leftAlone) {
        String id = change.engine().id();
        long sinceMillis = time.monotonicMillis() - orderedMillis;
        Optional<Incarnation> listed = parts.directory().find(id);
        boolean changed =
                listed.filter(engine -> engine.stage() != change.stage()).isEmpty();
        if (changed || sinceMillis >= LONGEST_CHANGE_MILLIS) {
            return;
        }
        parts.control().orderState(change.engine()).thenAccept(state -> {
            // With its new stage it is left alone until its entry says so: what it is listed for, it takes no more.
            boolean takesNothing = state.map(seen -> seen.busy() || seen.stage() == change.stage())
                    .orElse(leftAlone);
            if (takesNothing != leftAlone) {
                parts.away().tell(id, takesNothing ? LONGEST_CHANGE_MILLIS : 0);
                LogEvent.of("stage_change_seen")
                        .with("target", id)
                        .with("stage", change.stage())
                        .with("takesNothing", takesNothing)
                        .with("sinceMillis", sinceMillis)
                        .info(log);
                if (!takesNothing) {
                    planner.recordRejected(change);
                }
            }
            time.schedule(LOOK_EVERY_MILLIS, () -> look(planner, change, orderedMillis, takesNothing));
        });
    }

    private void took(Incarnation engine, OrderOutcome outcome) {
        long nowMillis = time.monotonicMillis();
        if (outcome == OrderOutcome.UNKNOWN) {
            notBeforeMillis.put(engine.id(), nowMillis + UNKNOWN_ORDER_MILLIS);
        } else if (outcome != OrderOutcome.TAKEN) {
            notBeforeMillis.put(engine.id(), nowMillis + REFUSED_MILLIS);
            parts.away().tell(engine.id(), 0);
        }
        if (outcome == OrderOutcome.FENCED) {
            lease.recordUnknownOutcome(nowMillis);
        }
    }
}
