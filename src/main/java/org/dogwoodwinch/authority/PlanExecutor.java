package org.dogwoodwinch.authority;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineState;

/**
 * Executes the planned changes of held groups: one at a time in each group, with the target drained before its order is
 * sent. Not thread-safe.
 *
 * <p>The progress of each plan is stored in the log, so a successor continues from there; this class keeps only
 * timings.
 */
final class PlanExecutor {

    private final OrderPolicy policy;
    private final RecordIdGenerator ids;
    private final TargetActivity activity;
    private final EngineStateCache engineStates;
    private final WeightLoadLimiter loadLimiter;
    private final Map<String, Long> firstSeenMillis = new HashMap<>();
    private final Map<String, Long> lastAppendMillis = new HashMap<>();
    private final Map<String, Integer> unansweredStateReads = new HashMap<>();

    /**
     * Creates an executor.
     *
     * @param policy the timings and rules, not null
     * @param ids creates the ids of new records, not null
     * @param activity the requests in flight on targets, not null
     * @param engineStates the states last read from engines, not null
     * @param loadLimiter limits weight loads to the weight store's rate, not null
     */
    PlanExecutor(
            OrderPolicy policy,
            RecordIdGenerator ids,
            TargetActivity activity,
            EngineStateCache engineStates,
            WeightLoadLimiter loadLimiter) {
        this.policy = policy;
        this.ids = ids;
        this.activity = activity;
        this.engineStates = engineStates;
        this.loadLimiter = loadLimiter;
    }

    /**
     * Decides which actions are due for a group that has no open order.
     *
     * @param authority the state derived from the log records read so far, not null
     * @param held the group, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions
     */
    List<AuthorityAction> decide(AuthorityState authority, HeldGroup held, long nowMillis) {
        List<PlanRecord> plans = authority.plans().plans().stream()
                .filter(plan -> plan.isActive() && plan.change().group().equals(held.group()))
                .toList();
        Optional<PlanRecord> started = plans.stream()
                .filter(plan -> plan.state() != PlanState.REQUESTED)
                .findFirst();
        List<AuthorityAction> actions = new ArrayList<>();
        if (started.isPresent()) {
            advance(authority, held, started.get(), nowMillis, actions);
        } else if (!plans.isEmpty()) {
            start(held, plans.get(0), nowMillis, actions);
        }
        return actions;
    }

    /**
     * Removes the timings of plans that have ended.
     *
     * @param authority the state derived from the log records read so far, not null
     */
    void removeFinished(AuthorityState authority) {
        firstSeenMillis.keySet().removeIf(key -> !isPlanActive(authority, key));
        lastAppendMillis.keySet().removeIf(key -> !isPlanActive(authority, key));
        unansweredStateReads.keySet().removeIf(key -> !isPlanActive(authority, key));
    }

    /**
     * Creates the action that appends an intent.
     *
     * @param authority the state derived from the log records read so far, not null
     * @param held the engine's group, not null
     * @param engine the engine, not null
     * @param planId the id of the plan; empty if an earlier order is reasserted, not null
     * @param configuration the desired configuration, not null
     * @param loadsWeights whether the order loads weights
     * @return the action
     */
    AuthorityAction newIntent(
            AuthorityState authority,
            HeldGroup held,
            String engine,
            String planId,
            EngineConfiguration configuration,
            boolean loadsWeights) {
        long previous =
                authority.engines().engine(engine).map(EngineEntry::intent).orElse(EngineTable.NO_INTENT);
        return new AuthorityAction.AppendRecord(new AuthorityRecord.OrderIntent(
                ids.next(),
                held.holder(),
                held.group(),
                held.epoch(),
                engine,
                previous,
                loadsWeights ? authority.engines().loadCount() : -1,
                planId,
                configuration));
    }

    /**
     * Returns whether a change from one configuration to another loads weights.
     *
     * @param from the configuration before, not null
     * @param to the configuration after, not null
     * @return true if the model, its version or an adapter is new
     */
    static boolean loadsWeights(EngineConfiguration from, EngineConfiguration to) {
        return !from.model().equals(to.model())
                || !from.modelVersion().equals(to.modelVersion())
                || !from.adapters().containsAll(to.adapters());
    }

    private void start(HeldGroup held, PlanRecord plan, long nowMillis, List<AuthorityAction> actions) {
        if (held.hasEngine(plan.change().orderedEngine())) {
            appendTransition(held, plan, PlanEvent.START, "", nowMillis, actions);
        } else if (ageMillis(plan, nowMillis) >= policy.expiryMillis()) {
            appendTransition(held, plan, PlanEvent.FAIL, "the engine is not in the instance list", nowMillis, actions);
        }
    }

    private void advance(
            AuthorityState authority, HeldGroup held, PlanRecord plan, long nowMillis, List<AuthorityAction> actions) {
        if (plan.state() == PlanState.RETIRING) {
            if (isDrained(plan, plan.change().engine(), nowMillis)) {
                appendTransition(held, plan, PlanEvent.FINISH, "", nowMillis, actions);
            }
        } else if (plan.state() == PlanState.DRAINING
                && isDrained(plan, plan.change().orderedEngine(), nowMillis)) {
            if (plan.change().needsOrder()) {
                orderChange(authority, held, plan, nowMillis, actions);
            } else {
                appendTransition(held, plan, PlanEvent.FINISH, "", nowMillis, actions);
            }
        }
    }

    /** Waits for urgent requests without a time limit, because an aborted booking is worse than a delayed change. */
    private boolean isDrained(PlanRecord plan, String target, long nowMillis) {
        long ageMillis = ageMillis(plan, nowMillis);
        if (ageMillis < policy.minDrainMillis()) {
            return false;
        }
        TargetActivity.RequestsInFlight inFlight = activity.requestsInFlight(target);
        return inFlight.complete()
                && inFlight.urgentCount() == 0
                && (inFlight.totalCount() == 0 || ageMillis >= policy.maxNonUrgentDrainMillis());
    }

    private void orderChange(
            AuthorityState authority, HeldGroup held, PlanRecord plan, long nowMillis, List<AuthorityAction> actions) {
        PlannedChange change = plan.change();
        String engine = change.orderedEngine();
        Optional<EngineConfiguration> current = findConfiguration(authority, plan, engine, nowMillis, actions);
        Optional<EngineConfiguration> base = findConfiguration(authority, plan, change.engine(), nowMillis, actions);
        if (current.isEmpty() || base.isEmpty()) {
            // Counts read requests instead of time: no state is read while the log is unavailable, and that time must
            // not make the plan fail.
            if (unansweredStateReads.getOrDefault(stepKey(plan), 0)
                    >= policy.expiryMillis() / policy.statePollIntervalMillis()) {
                appendTransition(
                        held, plan, PlanEvent.FAIL, "the engine's state could not be read", nowMillis, actions);
            }
            return;
        }
        EngineConfiguration wanted = change.applyTo(base.get());
        boolean needsLoad = loadsWeights(current.get(), wanted);
        boolean mustWait = held.heldForMillis() < policy.newHolderWaitMillis()
                || (needsLoad
                        && (!loadLimiter.isLoadAllowed(authority.engines(), nowMillis)
                                || !isLoadTurn(authority, plan, nowMillis)));
        if (!mustWait && tryStartAppend(plan, nowMillis)) {
            engineStates.invalidate(engine);
            actions.add(newIntent(authority, held, engine, plan.id(), wanted, needsLoad));
        }
    }

    /**
     * Returns whether the plan may append the intent of the next weight load. When a load becomes allowed, the holders
     * of many groups could append an intent at once, and only one of them would be accepted. The plan that was
     * requested first therefore appends at once, and each other plan waits one retry delay for each plan ahead of it,
     * in case that plan is delayed.
     */
    private boolean isLoadTurn(AuthorityState authority, PlanRecord plan, long nowMillis) {
        long plansAhead = authority.plans().plans().stream()
                .filter(other -> other.state() == PlanState.DRAINING
                        && other.change().needsOrder()
                        && other.change().kind() != PlannedChange.Kind.CHANGE_ROLE
                        && other.requestedOffset() < plan.requestedOffset())
                .count();
        String key = plan.id() + "/load-" + authority.engines().loadCount();
        long sinceMillis = firstSeenMillis.computeIfAbsent(key, _key -> nowMillis);
        return nowMillis - sinceMillis >= plansAhead * policy.retryDelayMillis();
    }

    private Optional<EngineConfiguration> findConfiguration(
            AuthorityState authority, PlanRecord plan, String engine, long nowMillis, List<AuthorityAction> actions) {
        Optional<EngineConfiguration> ordered = authority
                .engines()
                .engine(engine)
                .filter(entry -> entry.state() == EngineEntry.State.APPLIED)
                .map(EngineEntry::configuration);
        if (ordered.isPresent()) {
            return ordered;
        }
        Optional<EngineConfiguration> reported = engineStates
                .get(engine, policy.reassertIntervalMillis(), nowMillis)
                .map(EngineState::configuration);
        if (reported.isEmpty() && engineStates.tryStartRead(engine, policy.statePollIntervalMillis(), nowMillis)) {
            unansweredStateReads.merge(stepKey(plan), 1, Integer::sum);
            actions.add(new AuthorityAction.ReadEngineState(engine));
        }
        return reported;
    }

    private void appendTransition(
            HeldGroup held,
            PlanRecord plan,
            PlanEvent event,
            String detail,
            long nowMillis,
            List<AuthorityAction> actions) {
        if (tryStartAppend(plan, nowMillis)) {
            actions.add(new AuthorityAction.AppendRecord(
                    new AuthorityRecord.PlanMoved(ids.next(), held.holder(), held.epoch(), plan.id(), event, detail)));
        }
    }

    /**
     * Returns whether a record for the plan's current state may be appended now. A record that is not read back is
     * appended again after the retry delay; only one of the copies is accepted.
     */
    private boolean tryStartAppend(PlanRecord plan, long nowMillis) {
        String key = stepKey(plan);
        if (nowMillis - lastAppendMillis.getOrDefault(key, Long.MIN_VALUE / 2) < policy.retryDelayMillis()) {
            return false;
        }
        lastAppendMillis.put(key, nowMillis);
        return true;
    }

    private long ageMillis(PlanRecord plan, long nowMillis) {
        return nowMillis - firstSeenMillis.computeIfAbsent(stepKey(plan), _key -> nowMillis);
    }

    private static String stepKey(PlanRecord plan) {
        return plan.id() + "/" + plan.state();
    }

    private static boolean isPlanActive(AuthorityState authority, String key) {
        String planId = key.substring(0, key.lastIndexOf('/'));
        return authority.plans().plan(planId).filter(PlanRecord::isActive).isPresent();
    }
}
