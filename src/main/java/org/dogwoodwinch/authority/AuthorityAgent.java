package org.dogwoodwinch.authority;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.dogwoodwinch.chart.ChartReader;
import org.dogwoodwinch.chart.StateChart;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.Target;

/**
 * Decides which actions this instance takes for leases, orders and planned changes. It performs no I/O: each call gets
 * the state derived from the log and the current time, and returns actions. Not thread-safe: callers synchronize on one
 * lock.
 */
public final class AuthorityAgent {

    private final String holder;
    private final OrderPolicy policy;
    private final RecordIdGenerator ids;
    private final FleetInventory fleet;
    private final Predicate<String> checksFencing;
    private final LeaseManager leaseManager;
    private final EngineStateCache engineStates = new EngineStateCache();
    private final WeightLoadLimiter loadLimiter = new WeightLoadLimiter();
    private final PlanExecutor planExecutor;
    private static final StateChart<OrderState, OrderEvent, OrderAction> ORDER_CHART =
            new ChartReader<>(OrderState.class, OrderEvent.class, OrderAction.class).readResource("order.json");
    private final Map<String, OrderDriver> drivers = new TreeMap<>();
    private final Map<String, HoldStart> holdStarts = new HashMap<>();
    private long lastRateReadMillis = Long.MIN_VALUE / 2;
    private List<Target> groupedEngines = List.of();
    private SortedMap<String, List<Target>> enginesByGroup = new TreeMap<>();

    /**
     * Creates an agent that holds no lease.
     *
     * @param holder the name of this process, which no earlier process may have used, not null
     * @param leasePolicy the lease timings, not null
     * @param policy the timings and rules of orders, not null
     * @param ids creates the ids of new records, not null
     * @param fleet the engines and instances, not null
     * @param activity the requests in flight on targets, not null
     * @param checksFencing whether the engines of a target group check fencing tokens, by the group's name in the
     *     catalogue, not null
     */
    public AuthorityAgent(
            String holder,
            LeasePolicy leasePolicy,
            OrderPolicy policy,
            RecordIdGenerator ids,
            FleetInventory fleet,
            TargetActivity activity,
            Predicate<String> checksFencing) {
        this.holder = Objects.requireNonNull(holder, "holder");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.ids = Objects.requireNonNull(ids, "ids");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.checksFencing = Objects.requireNonNull(checksFencing, "checksFencing");
        this.leaseManager = new LeaseManager(holder, leasePolicy, ids);
        this.planExecutor = new PlanExecutor(policy, ids, activity, engineStates, loadLimiter);
    }

    /**
     * Handles a log record that was applied to the state.
     *
     * @param authority the state after the record, not null
     * @param offset the record's offset
     * @param record the record, not null
     */
    public void onRecordApplied(AuthorityState authority, long offset, AuthorityRecord record) {
        leaseManager.onReadBack(authority.leases(), offset, record.id());
    }

    /**
     * Decides which actions are due.
     *
     * @param authority the state derived from the log records read so far, not null
     * @param logUnavailable whether the log is unavailable
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions, to be carried out without delay and in order
     */
    public List<AuthorityAction> decide(AuthorityState authority, boolean logUnavailable, long nowMillis) {
        SortedMap<String, List<Target>> engines = groupEngines();
        List<AuthorityAction> actions = new ArrayList<>();
        leaseManager
                .decide(authority.leases(), engines.keySet(), fleet::claimRank, logUnavailable, nowMillis)
                .forEach(record -> actions.add(new AuthorityAction.AppendRecord(record)));
        loadLimiter.recordEndedLoads(authority.engines(), nowMillis);
        planExecutor.removeFinished(authority);
        removeObsoleteDrivers(authority, nowMillis);
        engines.forEach((group, members) -> findHeldGroup(authority, group, members, nowMillis)
                .ifPresent(held -> decideGroup(authority, held, nowMillis, actions)));
        return actions;
    }

    /**
     * Returns whether this instance may still send an order; called immediately before the order is written. Without
     * this check, a pause of the process between the decision and the write could send an order after the lease has
     * expired.
     *
     * @param authority the state derived from the log records read so far, not null
     * @param send the order about to be sent, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return whether the order is still open and the remaining lease covers the order's timeout
     */
    public boolean isSendAllowed(AuthorityState authority, AuthorityAction.SendOrder send, long nowMillis) {
        boolean open = authority
                .engines()
                .engine(send.engine())
                .filter(entry -> entry.state() == EngineEntry.State.OPEN
                        && entry.orderId().equals(send.order().orderId()))
                .isPresent();
        return open
                && leaseManager.remainingMillis(authority.leases(), send.group(), nowMillis)
                        >= policy.orderTimeoutMillis();
    }

    /**
     * Handles the result of sending an order.
     *
     * @param engine the engine, not null
     * @param orderId the id of the order, not null
     * @param result the engine's answer, or the reason why there is none, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    public void onOrderResult(String engine, String orderId, OrderResult result, long nowMillis) {
        OrderDriver driver = drivers.get(engine);
        if (driver != null) {
            driver.onResult(orderId, result, nowMillis);
        }
    }

    /**
     * Handles a state read from an engine.
     *
     * @param engine the engine, not null
     * @param state its state, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    public void onEngineState(String engine, EngineState state, long nowMillis) {
        engineStates.put(engine, state, nowMillis);
        OrderDriver driver = drivers.get(engine);
        if (driver != null) {
            driver.onState(state, nowMillis);
        }
    }

    /**
     * Handles the load rate read from the weight store.
     *
     * @param allowedPerMinute the allowed weight loads a minute; zero or less if the store did not answer
     * @param nowMillis the monotonic time in milliseconds
     */
    public void onWeightLoadRate(int allowedPerMinute, long nowMillis) {
        loadLimiter.updateRate(allowedPerMinute, nowMillis);
    }

    /**
     * Releases all held groups before a planned stop, so that successors need not wait until the leases expire.
     *
     * @param authority the state derived from the log records read so far, not null
     * @return the record to append; empty if no group is held, or if an order was sent and not answered yet
     */
    public Optional<AuthorityRecord> releaseAll(AuthorityState authority) {
        boolean sending = drivers.values().stream().anyMatch(OrderDriver::isSending);
        drivers.clear();
        return sending ? Optional.empty() : leaseManager.release(authority.leases());
    }

    /**
     * Returns the groups for which this instance holds a lease that has not expired.
     *
     * @param authority the state derived from the log records read so far, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return the groups, in order of name
     */
    public List<String> heldGroups(AuthorityState authority, long nowMillis) {
        return authority.leases().leases().keySet().stream()
                .filter(group -> leaseManager.remainingMillis(authority.leases(), group, nowMillis) > 0)
                .toList();
    }

    private void decideGroup(AuthorityState authority, HeldGroup held, long nowMillis, List<AuthorityAction> actions) {
        boolean anyOpen = false;
        for (Map.Entry<String, EngineEntry> entry :
                authority.engines().engines().entrySet()) {
            if (!entry.getValue().group().equals(held.group())) {
                continue;
            }
            if (entry.getValue().state() == EngineEntry.State.OPEN) {
                anyOpen = true;
                actions.addAll(driverFor(entry.getKey(), entry.getValue(), nowMillis)
                        .decide(holder, held.epoch(), held.leaseRemainingMillis(), nowMillis));
            } else {
                reassert(authority, held, entry.getKey(), entry.getValue(), nowMillis, actions);
            }
        }
        // Open orders are completed first: a new order sent beside an open one could reach the engine together with it.
        if (!anyOpen) {
            readWeightRateIfNeeded(authority, nowMillis, actions);
            actions.addAll(planExecutor.decide(authority, held, nowMillis));
        }
    }

    private void reassert(
            AuthorityState authority,
            HeldGroup held,
            String engine,
            EngineEntry entry,
            long nowMillis,
            List<AuthorityAction> actions) {
        if (entry.state() != EngineEntry.State.APPLIED || !held.hasEngine(engine)) {
            return;
        }
        Optional<EngineState> reported = engineStates.get(engine, policy.reassertIntervalMillis(), nowMillis);
        boolean differs = reported.isPresent()
                && reported.get().ready()
                && !OrderDriver.isOrderApplied(
                        entry, reported.get(), checksFencing(held.group()), policy.fencingTokenRule());
        boolean loadsWeights =
                differs && PlanExecutor.loadsWeights(reported.get().configuration(), entry.configuration());
        if (differs
                && held.heldForMillis() >= policy.newHolderWaitMillis()
                && (!loadsWeights || loadLimiter.isLoadAllowed(authority.engines(), nowMillis))) {
            engineStates.invalidate(engine);
            actions.add(planExecutor.newIntent(authority, held, engine, "", entry.configuration(), loadsWeights));
        } else if (engineStates.tryStartRead(engine, policy.reassertIntervalMillis(), nowMillis)) {
            actions.add(new AuthorityAction.ReadEngineState(engine));
        }
    }

    private void readWeightRateIfNeeded(AuthorityState authority, long nowMillis, List<AuthorityAction> actions) {
        boolean anyActivePlan = authority.plans().plans().stream().anyMatch(PlanRecord::isActive);
        if (anyActivePlan
                && loadLimiter.isRateStale(nowMillis)
                && nowMillis - lastRateReadMillis >= policy.retryDelayMillis()) {
            lastRateReadMillis = nowMillis;
            actions.add(new AuthorityAction.ReadWeightLoadRate());
        }
    }

    private OrderDriver driverFor(String engine, EngineEntry entry, long nowMillis) {
        return drivers.computeIfAbsent(
                engine,
                _engine -> new OrderDriver(
                        ORDER_CHART, policy, ids, engine, entry, checksFencing(entry.group()), nowMillis));
    }

    private void removeObsoleteDrivers(AuthorityState authority, long nowMillis) {
        drivers.entrySet().removeIf(driverEntry -> {
            Optional<EngineEntry> entry = authority.engines().engine(driverEntry.getKey());
            return entry.isEmpty()
                    || entry.get().state() != EngineEntry.State.OPEN
                    || entry.get().intent() != driverEntry.getValue().intent()
                    || leaseManager.remainingMillis(
                                    authority.leases(), entry.get().group(), nowMillis)
                            <= 0;
        });
    }

    private Optional<HeldGroup> findHeldGroup(
            AuthorityState authority, String group, List<Target> engines, long nowMillis) {
        long leaseRemainingMillis = leaseManager.remainingMillis(authority.leases(), group, nowMillis);
        Optional<GroupLease> lease = authority.leases().lease(group);
        if (leaseRemainingMillis <= 0 || lease.isEmpty()) {
            return Optional.empty();
        }
        long epoch = lease.get().epoch();
        HoldStart start = holdStarts.get(group);
        if (start == null || start.epoch() != epoch) {
            start = new HoldStart(epoch, nowMillis);
            holdStarts.put(group, start);
        }
        return Optional.of(
                new HeldGroup(group, holder, epoch, leaseRemainingMillis, nowMillis - start.startMillis(), engines));
    }

    /**
     * Regroups the engines only if the list has changed: decisions run many times a second, the list changes rarely,
     * and comparing a list with itself is cheap.
     */
    private SortedMap<String, List<Target>> groupEngines() {
        List<Target> engines = fleet.engines();
        if (!engines.equals(groupedEngines)) {
            SortedMap<String, List<Target>> byGroup = new TreeMap<>();
            engines.forEach(engine -> byGroup.computeIfAbsent(EngineGroups.groupKey(engine), _key -> new ArrayList<>())
                    .add(engine));
            groupedEngines = List.copyOf(engines);
            enginesByGroup = byGroup;
        }
        return enginesByGroup;
    }

    private boolean checksFencing(String group) {
        return checksFencing.test(group.substring(0, group.lastIndexOf('@')));
    }

    private record HoldStart(long epoch, long startMillis) {}
}
