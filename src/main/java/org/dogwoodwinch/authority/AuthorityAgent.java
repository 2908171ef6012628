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
    private final RecordIds ids;
    private final FleetView fleet;
    private final Predicate<String> checksFencing;
    private final LeaseKeeper leases;
    private final EngineStates states = new EngineStates();
    private final LoadBudget budget = new LoadBudget();
    private final PlanDesk plans;
    private static final StateChart<OrderState, OrderEvent, OrderAction> ORDER_CHART =
            new ChartReader<>(OrderState.class, OrderEvent.class, OrderAction.class).readResource("order.json");
    private final Map<String, OrderDriver> drivers = new TreeMap<>();
    private final Map<String, HeldSince> heldSince = new HashMap<>();
    private long rateAskedMillis = Long.MIN_VALUE / 2;
    private List<Target> lastEngines = List.of();
    private SortedMap<String, List<Target>> lastByGroup = new TreeMap<>();

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
            RecordIds ids,
            FleetView fleet,
            TargetActivity activity,
            Predicate<String> checksFencing) {
        this.holder = Objects.requireNonNull(holder, "holder");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.ids = Objects.requireNonNull(ids, "ids");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.checksFencing = Objects.requireNonNull(checksFencing, "checksFencing");
        this.leases = new LeaseKeeper(holder, leasePolicy, ids);
        this.plans = new PlanDesk(policy, ids, activity, states, budget);
    }

    /**
     * Hears that a record was folded.
     *
     * @param fold the state after it, not null
     * @param offset its offset
     * @param record the record, not null
     */
    public void onFolded(AuthorityFold fold, long offset, AuthorityRecord record) {
        leases.onReadBack(fold.leases(), offset, record.id());
    }

    /**
     * Decides what to do now.
     *
     * @param fold the state as far as it was read, not null
     * @param logOut whether the log does not answer
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions, to be carried out at once and in order
     */
    public List<AuthorityAction> decide(AuthorityFold fold, boolean logOut, long nowMillis) {
        SortedMap<String, List<Target>> engines = enginesByGroup();
        List<AuthorityAction> actions = new ArrayList<>();
        leases.decide(fold.leases(), engines.keySet(), fleet::claimRank, logOut, nowMillis)
                .forEach(record -> actions.add(new AuthorityAction.Append(record)));
        budget.observe(fold.engines(), nowMillis);
        plans.forgetFinished(fold);
        dropDrivers(fold, nowMillis);
        engines.forEach((group, members) ->
                held(fold, group, members, nowMillis).ifPresent(held -> decideGroup(fold, held, nowMillis, actions)));
        return actions;
    }

    /**
     * Asks again, immediately before an order is written, whether this instance still may send it. A pause between the
     * decision and the write would otherwise send an order whose lease has lapsed meanwhile.
     *
     * @param fold the state as far as it was read, not null
     * @param send what is about to be sent, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return whether the order is still open and the lease covers its timeout
     */
    public boolean maySend(AuthorityFold fold, AuthorityAction.SendOrder send, long nowMillis) {
        boolean open = fold.engines()
                .engine(send.engine())
                .filter(entry -> entry.state() == EngineEntry.State.OPEN
                        && entry.orderId().equals(send.order().orderId()))
                .isPresent();
        return open && leases.remainingMillis(fold.leases(), send.group(), nowMillis) >= policy.orderTimeoutMillis();
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
        states.put(engine, state, nowMillis);
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
        budget.onRate(allowedPerMinute, nowMillis);
    }

    /**
     * Gives all groups back for a planned stop, so that successors need not wait out the term.
     *
     * @param fold the state as far as it was read, not null
     * @return the record to append; empty where nothing is held, or while an order is out whose answer is not in
     */
    public Optional<AuthorityRecord> release(AuthorityFold fold) {
        boolean sending = drivers.values().stream().anyMatch(OrderDriver::isSending);
        drivers.clear();
        return sending ? Optional.empty() : leases.release(fold.leases());
    }

    /**
     * Returns the groups that this instance may act for.
     *
     * @param fold the state as far as it was read, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return the groups whose lease is live, in order of name
     */
    public List<String> liveGroups(AuthorityFold fold, long nowMillis) {
        return fold.leases().leases().keySet().stream()
                .filter(group -> leases.remainingMillis(fold.leases(), group, nowMillis) > 0)
                .toList();
    }

    private void decideGroup(AuthorityFold fold, HeldGroup held, long nowMillis, List<AuthorityAction> actions) {
        boolean anyOpen = false;
        for (Map.Entry<String, EngineEntry> entry : fold.engines().engines().entrySet()) {
            if (!entry.getValue().group().equals(held.group())) {
                continue;
            }
            if (entry.getValue().state() == EngineEntry.State.OPEN) {
                anyOpen = true;
                actions.addAll(driver(entry.getKey(), entry.getValue(), nowMillis)
                        .decide(holder, held.epoch(), held.leaseMillis(), nowMillis));
            } else {
                reassert(fold, held, entry.getKey(), entry.getValue(), nowMillis, actions);
            }
        }
        // What the log has decided comes first: a new order beside an open one could meet it on the engine.
        if (!anyOpen) {
            askForRate(fold, nowMillis, actions);
            actions.addAll(plans.decide(fold, held, nowMillis));
        }
    }

    private void reassert(
            AuthorityFold fold,
            HeldGroup held,
            String engine,
            EngineEntry entry,
            long nowMillis,
            List<AuthorityAction> actions) {
        if (entry.state() != EngineEntry.State.APPLIED || !held.has(engine)) {
            return;
        }
        Optional<EngineState> told = states.get(engine, policy.reassertMillis(), nowMillis);
        boolean differs = told.isPresent()
                && told.get().ready()
                && !OrderDriver.runsOrder(entry, told.get(), checksFencing(held.group()), policy.tokenRule());
        boolean loads = differs && PlanDesk.loadsWeights(told.get().configuration(), entry.configuration());
        if (differs
                && held.heldMillis() >= policy.successorWaitMillis()
                && (!loads || budget.allows(fold.engines(), nowMillis))) {
            states.forget(engine);
            actions.add(plans.intent(fold, held, engine, "", entry.configuration(), loads));
        } else if (states.takeDue(engine, policy.reassertMillis(), nowMillis)) {
            actions.add(new AuthorityAction.ReadState(engine));
        }
    }

    private void askForRate(AuthorityFold fold, long nowMillis, List<AuthorityAction> actions) {
        boolean anyPlan = fold.plans().plans().stream().anyMatch(PlanRecord::isActive);
        if (anyPlan && budget.needsRate(nowMillis) && nowMillis - rateAskedMillis >= policy.retryMillis()) {
            rateAskedMillis = nowMillis;
            actions.add(new AuthorityAction.ReadWeightRate());
        }
    }

    private OrderDriver driver(String engine, EngineEntry entry, long nowMillis) {
        return drivers.computeIfAbsent(
                engine,
                _engine -> new OrderDriver(
                        ORDER_CHART, policy, ids, engine, entry, checksFencing(entry.group()), nowMillis));
    }

    private void dropDrivers(AuthorityFold fold, long nowMillis) {
        drivers.entrySet().removeIf(each -> {
            Optional<EngineEntry> entry = fold.engines().engine(each.getKey());
            return entry.isEmpty()
                    || entry.get().state() != EngineEntry.State.OPEN
                    || entry.get().intent() != each.getValue().intent()
                    || leases.remainingMillis(fold.leases(), entry.get().group(), nowMillis) <= 0;
        });
    }

    private Optional<HeldGroup> held(AuthorityFold fold, String group, List<Target> engines, long nowMillis) {
        long leaseMillis = leases.remainingMillis(fold.leases(), group, nowMillis);
        Optional<GroupLease> lease = fold.leases().lease(group);
        if (leaseMillis <= 0 || lease.isEmpty()) {
            return Optional.empty();
        }
        long epoch = lease.get().epoch();
        HeldSince since = heldSince.get(group);
        if (since == null || since.epoch() != epoch) {
            since = new HeldSince(epoch, nowMillis);
            heldSince.put(group, since);
        }
        return Optional.of(new HeldGroup(group, holder, epoch, leaseMillis, nowMillis - since.sinceMillis(), engines));
    }

    /** Decisions come many times a second and the list changes seldom; comparing a list with itself costs nothing. */
    private SortedMap<String, List<Target>> enginesByGroup() {
        List<Target> engines = fleet.engines();
        if (!engines.equals(lastEngines)) {
            SortedMap<String, List<Target>> byGroup = new TreeMap<>();
            engines.forEach(engine -> byGroup.computeIfAbsent(EngineGroups.keyOf(engine), _key -> new ArrayList<>())
                    .add(engine));
            lastEngines = List.copyOf(engines);
            lastByGroup = byGroup;
        }
        return lastByGroup;
    }

    private boolean checksFencing(String group) {
        return checksFencing.test(group.substring(0, group.lastIndexOf('@')));
    }

    private record HeldSince(long epoch, long sinceMillis) {}
}
