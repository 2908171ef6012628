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
 * Decides what this instance does about leases, orders and planned changes: a state holder of (fold, event, now) that
 * returns actions. Not thread-safe: its owner calls it under one lock.
 */
public final class AuthorityAgent {

    private final String holder;
    private final OrderPolicy policy;
    private final RecordIdGenerator ids;
    private final FleetView fleet;
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
     * Creates an agent that holds nothing.
     *
     * @param holder this process, by a name that no earlier process had, not null
     * @param leasePolicy the times of leases, not null
     * @param policy the times and rules of orders, not null
     * @param ids names the records, not null
     * @param fleet the engines and instances, not null
     * @param activity knows what is in flight on targets, not null
     * @param checksFencing whether the engines of a target group check tokens, by the group's name in the catalogue, not
     *     null
     */
    public AuthorityAgent(
            String holder,
            LeasePolicy leasePolicy,
            OrderPolicy policy,
            RecordIdGenerator ids,
            FleetView fleet,
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
     * Hears that a record was folded.
     *
     * @param authority the state after it, not null
     * @param offset its offset
     * @param record the record, not null
     */
    public void onFolded(AuthorityFold authority, long offset, AuthorityRecord record) {
        leaseManager.onReadBack(authority.leases(), offset, record.id());
    }

    /**
     * Decides what to do now.
     *
     * @param authority the state as far as it was read, not null
     * @param logUnavailable whether the log does not answer
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions, to be carried out at once and in order
     */
    public List<AuthorityAction> decide(AuthorityFold authority, boolean logUnavailable, long nowMillis) {
        SortedMap<String, List<Target>> engines = groupEngines();
        List<AuthorityAction> actions = new ArrayList<>();
        leaseManager
                .decide(authority.leases(), engines.keySet(), fleet::claimRank, logUnavailable, nowMillis)
                .forEach(record -> actions.add(new AuthorityAction.Append(record)));
        loadLimiter.recordEndedLoads(authority.engines(), nowMillis);
        planExecutor.removeFinished(authority);
        removeObsoleteDrivers(authority, nowMillis);
        engines.forEach((group, members) -> findHeldGroup(authority, group, members, nowMillis)
                .ifPresent(held -> decideGroup(authority, held, nowMillis, actions)));
        return actions;
    }

    /**
     * Asks again, immediately before an order is written, whether this instance still may send it. A pause between the
     * decision and the write would otherwise send an order whose lease has lapsed meanwhile.
     *
     * @param authority the state as far as it was read, not null
     * @param send what is about to be sent, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return whether the order is still open and the lease covers its timeout
     */
    public boolean maySend(AuthorityFold authority, AuthorityAction.SendOrder send, long nowMillis) {
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
     * Hears what became of a send.
     *
     * @param engine the engine, not null
     * @param orderId the order, not null
     * @param result what the engine said, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    public void onOrderResult(String engine, String orderId, OrderResult result, long nowMillis) {
        OrderDriver driver = drivers.get(engine);
        if (driver != null) {
            driver.onResult(orderId, result, nowMillis);
        }
    }

    /**
     * Hears of an engine's state.
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
     * Hears what the weight store allows.
     *
     * @param allowedPerMinute the loads a minute; zero or less where the store did not answer
     * @param nowMillis the monotonic time in milliseconds
     */
    public void onWeightRate(int allowedPerMinute, long nowMillis) {
        loadLimiter.updateRate(allowedPerMinute, nowMillis);
    }

    /**
     * Gives all groups back for a planned stop, so that successors need not wait out the term.
     *
     * @param authority the state as far as it was read, not null
     * @return the record to append; empty where nothing is held, or while an order is out whose answer is not in
     */
    public Optional<AuthorityRecord> release(AuthorityFold authority) {
        boolean sending = drivers.values().stream().anyMatch(OrderDriver::isSending);
        drivers.clear();
        return sending ? Optional.empty() : leaseManager.release(authority.leases());
    }

    /**
     * Returns the groups that this instance may act for.
     *
     * @param authority the state as far as it was read, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return the groups whose lease is live, in order of name
     */
    public List<String> liveGroups(AuthorityFold authority, long nowMillis) {
        return authority.leases().leases().keySet().stream()
                .filter(group -> leaseManager.remainingMillis(authority.leases(), group, nowMillis) > 0)
                .toList();
    }

    private void decideGroup(AuthorityFold authority, HeldGroup held, long nowMillis, List<AuthorityAction> actions) {
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
        // What the log has decided comes first: a new order beside an open one could meet it on the engine.
        if (!anyOpen) {
            readWeightRateIfNeeded(authority, nowMillis, actions);
            actions.addAll(planExecutor.decide(authority, held, nowMillis));
        }
    }

    private void reassert(
            AuthorityFold authority,
            HeldGroup held,
            String engine,
            EngineEntry entry,
            long nowMillis,
            List<AuthorityAction> actions) {
        if (entry.state() != EngineEntry.State.APPLIED || !held.hasEngine(engine)) {
            return;
        }
        Optional<EngineState> reported = engineStates.get(engine, policy.reassertMillis(), nowMillis);
        boolean differs = reported.isPresent()
                && reported.get().ready()
                && !OrderDriver.isOrderApplied(entry, reported.get(), checksFencing(held.group()), policy.tokenRule());
        boolean loadsWeights =
                differs && PlanExecutor.loadsWeights(reported.get().configuration(), entry.configuration());
        if (differs
                && held.heldForMillis() >= policy.successorWaitMillis()
                && (!loadsWeights || loadLimiter.isLoadAllowed(authority.engines(), nowMillis))) {
            engineStates.invalidate(engine);
            actions.add(planExecutor.newIntent(authority, held, engine, "", entry.configuration(), loadsWeights));
        } else if (engineStates.tryStartRead(engine, policy.reassertMillis(), nowMillis)) {
            actions.add(new AuthorityAction.ReadState(engine));
        }
    }

    private void readWeightRateIfNeeded(AuthorityFold authority, long nowMillis, List<AuthorityAction> actions) {
        boolean anyActivePlan = authority.plans().plans().stream().anyMatch(PlanRecord::isActive);
        if (anyActivePlan
                && loadLimiter.isRateStale(nowMillis)
                && nowMillis - lastRateReadMillis >= policy.retryMillis()) {
            lastRateReadMillis = nowMillis;
            actions.add(new AuthorityAction.ReadWeightRate());
        }
    }

    private OrderDriver driverFor(String engine, EngineEntry entry, long nowMillis) {
        return drivers.computeIfAbsent(
                engine,
                _engine -> new OrderDriver(
                        ORDER_CHART, policy, ids, engine, entry, checksFencing(entry.group()), nowMillis));
    }

    private void removeObsoleteDrivers(AuthorityFold authority, long nowMillis) {
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
            AuthorityFold authority, String group, List<Target> engines, long nowMillis) {
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

    /** Decisions come many times a second and the list changes seldom; comparing a list with itself costs nothing. */
    private SortedMap<String, List<Target>> groupEngines() {
        List<Target> engines = fleet.engines();
        if (!engines.equals(groupedEngines)) {
            SortedMap<String, List<Target>> byGroup = new TreeMap<>();
            engines.forEach(engine -> byGroup.computeIfAbsent(EngineGroups.keyOf(engine), _key -> new ArrayList<>())
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
