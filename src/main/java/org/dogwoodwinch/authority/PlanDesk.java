package org.dogwoodwinch.authority;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineState;

/**
 * Moves the planned changes of held groups on: one a group at a time, drained first, ordered last. Not thread-safe.
 *
 * <p>It keeps nothing that matters: where a plan stands is on the log, so a successor goes on from there.
 */
final class PlanDesk {

    private final OrderPolicy policy;
    private final RecordIds ids;
    private final TargetActivity activity;
    private final EngineStates states;
    private final LoadBudget budget;
    private final Map<String, Long> firstSeenMillis = new HashMap<>();
    private final Map<String, Long> appendedMillis = new HashMap<>();
    private final Map<String, Integer> unansweredAsks = new HashMap<>();

    /**
     * Creates a desk.
     *
     * @param policy the times, not null
     * @param ids names the records, not null
     * @param activity knows what is in flight, not null
     * @param states what engines said of themselves, not null
     * @param budget keeps to the weight store's rate, not null
     */
    PlanDesk(OrderPolicy policy, RecordIds ids, TargetActivity activity, EngineStates states, LoadBudget budget) {
        this.policy = policy;
        this.ids = ids;
        this.activity = activity;
        this.states = states;
        this.budget = budget;
    }

    /**
     * Decides for one group that has no order open.
     *
     * @param fold the state as far as it was read, not null
     * @param held the group, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions
     */
    List<AuthorityAction> decide(AuthorityFold fold, HeldGroup held, long nowMillis) {
        List<PlanRecord> plans = fold.plans().plans().stream()
                .filter(plan -> plan.isActive() && plan.change().group().equals(held.group()))
                .toList();
        Optional<PlanRecord> underWay = plans.stream()
                .filter(plan -> plan.state() != PlanState.REQUESTED)
                .findFirst();
        List<AuthorityAction> actions = new ArrayList<>();
        if (underWay.isPresent()) {
            advance(fold, held, underWay.get(), nowMillis, actions);
        } else if (!plans.isEmpty()) {
            begin(held, plans.get(0), nowMillis, actions);
        }
        return actions;
    }

    /**
     * Forgets the times of plans that are over.
     *
     * @param fold the state as far as it was read, not null
     */
    void forgetFinished(AuthorityFold fold) {
        firstSeenMillis.keySet().removeIf(key -> !isActive(fold, key));
        appendedMillis.keySet().removeIf(key -> !isActive(fold, key));
        unansweredAsks.keySet().removeIf(key -> !isActive(fold, key));
    }

    /**
     * Makes an intent.
     *
     * @param fold the state as far as it was read, not null
     * @param held the engine's group, not null
     * @param engine the engine, not null
     * @param planId the plan; empty where an earlier order is re-asserted, not null
     * @param wanted the configuration, not null
     * @param loads whether weights are loaded
     * @return the action
     */
    AuthorityAction intent(
            AuthorityFold fold,
            HeldGroup held,
            String engine,
            String planId,
            EngineConfiguration wanted,
            boolean loads) {
        long previous = fold.engines().engine(engine).map(EngineEntry::intent).orElse(EngineTable.NO_INTENT);
        return new AuthorityAction.Append(new AuthorityRecord.OrderIntent(
                ids.next(),
                held.holder(),
                held.group(),
                held.epoch(),
                engine,
                previous,
                loads ? fold.engines().loadCount() : -1,
                planId,
                wanted));
    }

    /**
     * Says whether going from one configuration to another loads weights.
     *
     * @param from the configuration before, not null
     * @param to the configuration after, not null
     * @return true where model, version or an adapter is new
     */
    static boolean loadsWeights(EngineConfiguration from, EngineConfiguration to) {
        return !from.model().equals(to.model())
                || !from.modelVersion().equals(to.modelVersion())
                || !from.adapters().containsAll(to.adapters());
    }

    private void begin(HeldGroup held, PlanRecord plan, long nowMillis, List<AuthorityAction> actions) {
        if (held.has(plan.change().orderedEngine())) {
            move(held, plan, PlanEvent.START, "", nowMillis, actions);
        } else if (ageMillis(plan, nowMillis) >= policy.giveUpMillis()) {
            move(held, plan, PlanEvent.FAIL, "the engine is not in the instance list", nowMillis, actions);
        }
    }

    private void advance(
            AuthorityFold fold, HeldGroup held, PlanRecord plan, long nowMillis, List<AuthorityAction> actions) {
        if (plan.state() == PlanState.RETIRING) {
            if (isDrained(plan, plan.change().engine(), nowMillis)) {
                move(held, plan, PlanEvent.FINISH, "", nowMillis, actions);
            }
        } else if (plan.state() == PlanState.DRAINING
                && isDrained(plan, plan.change().orderedEngine(), nowMillis)) {
            if (plan.change().needsOrder()) {
                order(fold, held, plan, nowMillis, actions);
            } else {
                move(held, plan, PlanEvent.FINISH, "", nowMillis, actions);
            }
        }
    }

    /** Urgent work is waited for without end: a booking that is cut is worse than a change that is late. */
    private boolean isDrained(PlanRecord plan, String target, long nowMillis) {
        long ageMillis = ageMillis(plan, nowMillis);
        if (ageMillis < policy.drainSettleMillis()) {
            return false;
        }
        TargetActivity.InFlight inFlight = activity.of(target);
        return inFlight.known()
                && inFlight.urgent() == 0
                && (inFlight.all() == 0 || ageMillis >= policy.drainMostMillis());
    }

    private void order(
            AuthorityFold fold, HeldGroup held, PlanRecord plan, long nowMillis, List<AuthorityAction> actions) {
        PlannedChange change = plan.change();
        String engine = change.orderedEngine();
        Optional<EngineConfiguration> from = configurationOf(fold, plan, engine, nowMillis, actions);
        Optional<EngineConfiguration> base = configurationOf(fold, plan, change.engine(), nowMillis, actions);
        if (from.isEmpty() || base.isEmpty()) {
            // Asks are counted, not time: while the log is out nothing is asked, and the engine is not to blame.
            if (unansweredAsks.getOrDefault(key(plan), 0) >= policy.giveUpMillis() / policy.statePollMillis()) {
                move(held, plan, PlanEvent.FAIL, "the engine does not tell its state", nowMillis, actions);
            }
            return;
        }
        EngineConfiguration wanted = change.applyTo(base.get());
        boolean loads = loadsWeights(from.get(), wanted);
        boolean waits = held.heldMillis() < policy.successorWaitMillis()
                || (loads && (!budget.allows(fold.engines(), nowMillis) || !isNextInLine(fold, plan, nowMillis)));
        if (!waits && takeAppend(plan, nowMillis)) {
            states.forget(engine);
            actions.add(intent(fold, held, engine, plan.id(), wanted, loads));
        }
    }

    /**
     * When a weight load may begin, holders of many groups want it at once, and the log takes one of them: the others'
     * appends would be for nothing. So the plan that was asked for first goes first, and one that is behind it waits a
     * little for each before it, in case that one is held up.
     */
    private boolean isNextInLine(AuthorityFold fold, PlanRecord plan, long nowMillis) {
        long before = fold.plans().plans().stream()
                .filter(other -> other.state() == PlanState.DRAINING
                        && other.change().needsOrder()
                        && other.change().kind() != PlannedChange.Kind.CHANGE_ROLE
                        && other.requestedOffset() < plan.requestedOffset())
                .count();
        String key = plan.id() + "/load-" + fold.engines().loadCount();
        long sinceMillis = firstSeenMillis.computeIfAbsent(key, _key -> nowMillis);
        return nowMillis - sinceMillis >= before * policy.retryMillis();
    }

    private Optional<EngineConfiguration> configurationOf(
            AuthorityFold fold, PlanRecord plan, String engine, long nowMillis, List<AuthorityAction> actions) {
        Optional<EngineConfiguration> ordered = fold.engines()
                .engine(engine)
                .filter(entry -> entry.state() == EngineEntry.State.APPLIED)
                .map(EngineEntry::configuration);
        if (ordered.isPresent()) {
            return ordered;
        }
        Optional<EngineConfiguration> told =
                states.get(engine, policy.reassertMillis(), nowMillis).map(EngineState::configuration);
        if (told.isEmpty() && states.takeDue(engine, policy.statePollMillis(), nowMillis)) {
            unansweredAsks.merge(key(plan), 1, Integer::sum);
            actions.add(new AuthorityAction.ReadState(engine));
        }
        return told;
    }

    private void move(
            HeldGroup held,
            PlanRecord plan,
            PlanEvent event,
            String detail,
            long nowMillis,
            List<AuthorityAction> actions) {
        if (takeAppend(plan, nowMillis)) {
            actions.add(new AuthorityAction.Append(
                    new AuthorityRecord.PlanMoved(ids.next(), held.holder(), held.epoch(), plan.id(), event, detail)));
        }
    }

    /** A record that is not read back is made anew after a while; the fold takes one of them. */
    private boolean takeAppend(PlanRecord plan, long nowMillis) {
        String key = key(plan);
        if (nowMillis - appendedMillis.getOrDefault(key, Long.MIN_VALUE / 2) < policy.retryMillis()) {
            return false;
        }
        appendedMillis.put(key, nowMillis);
        return true;
    }

    private long ageMillis(PlanRecord plan, long nowMillis) {
        return nowMillis - firstSeenMillis.computeIfAbsent(key(plan), _key -> nowMillis);
    }

    private static String key(PlanRecord plan) {
        return plan.id() + "/" + plan.state();
    }

    private static boolean isActive(AuthorityFold fold, String key) {
        String planId = key.substring(0, key.lastIndexOf('/'));
        return fold.plans().plan(planId).filter(PlanRecord::isActive).isPresent();
    }
}
