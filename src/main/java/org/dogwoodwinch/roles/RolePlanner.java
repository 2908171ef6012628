package org.dogwoodwinch.roles;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.time.TimeSource;

/**
 * Proposes a role change if its predicted gain over the planning horizon exceeds the cost of the engine's
 * unavailability.
 *
 * <p>The best split is searched among all splits, not only among those one change away from the current one: the first
 * prefill engine in a group of mixed engines brings no gain until there is a decode engine as well. A plan is carried
 * out one engine at a time and recomputed before each change. Not thread-safe.
 */
public final class RolePlanner implements RolePlanningStrategy {

    private final RolePlannerSettings settings;
    private final DemandSource demand;
    private final RoleChangeRequester requester;
    private final TimeSource time;
    private final GoodputModel model;
    private final Map<String, Long> groupChangedMillis = new HashMap<>();
    private final Map<String, Long> engineChangedMillis = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param settings the parameters, not null
     * @param demand the demand for the groups, not null
     * @param requester receives the proposals, not null
     * @param time the clock, not null
     */
    public RolePlanner(
            RolePlannerSettings settings, DemandSource demand, RoleChangeRequester requester, TimeSource time) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.demand = Objects.requireNonNull(demand, "demand");
        this.requester = Objects.requireNonNull(requester, "requester");
        this.time = Objects.requireNonNull(time, "time");
        this.model = new GoodputModel(settings.speed());
    }

    @Override
    public void plan(String group, List<EngineSnapshot> engines) {
        boolean changing = engines.stream().anyMatch(engine -> !engine.stable());
        if (changing || isWithinDwell(groupChangedMillis.get(group), settings.groupDwellMillis())) {
            return;
        }
        RoleSplit current = splitOf(engines);
        List<ClassDemand> shortTermDemand = demand.demand(group, settings.shortHorizonMillis());
        List<ClassDemand> longTermDemand = demand.demand(group, settings.longHorizonMillis());
        RoleSplit best = current;
        double bestNetGain = 0;
        double bestGain = 0;
        for (RoleSplit candidate : RoleSplit.possibleSplits(engines.size())) {
            double gain = Math.min(gain(current, candidate, shortTermDemand), gain(current, candidate, longTermDemand));
            double netGain = gain - cost(current, candidate, shortTermDemand, engines.size());
            if (netGain > bestNetGain) {
                best = candidate;
                bestNetGain = netGain;
                bestGain = gain;
            }
        }
        if (!best.equals(current)) {
            propose(group, engines, current, best, bestGain);
        }
    }

    /**
     * Returns the predicted gain over the planning horizon. The planner uses the smaller of the short-term and the
     * long-term gain, so that a burst alone changes nothing.
     */
    private double gain(RoleSplit current, RoleSplit candidate, List<ClassDemand> classes) {
        double gainPerSecond = model.predict(candidate, classes) - model.predict(current, classes);
        return gainPerSecond * settings.planningHorizonMillis() / 1_000;
    }

    /**
     * Returns the goodput lost while engines drain and change their roles, plus the configured price of their
     * unavailability.
     */
    private double cost(RoleSplit current, RoleSplit candidate, List<ClassDemand> shortTermDemand, int engines) {
        double millisUnavailable = settings.speed().roleChangeMillis() + settings.drainMillis();
        double secondsUnavailable = current.changesTo(candidate) * millisUnavailable / 1_000;
        double lostPerSecond = model.predict(current, shortTermDemand) / engines;
        return secondsUnavailable * (lostPerSecond + settings.pricePerSecondAway());
    }

    private void propose(String group, List<EngineSnapshot> engines, RoleSplit current, RoleSplit best, double gain) {
        Optional<EngineRole> deficitRole = roleWithLargestDifference(current, best, true);
        Optional<EngineRole> surplusRole = roleWithLargestDifference(current, best, false);
        if (deficitRole.isEmpty() || surplusRole.isEmpty()) {
            return;
        }
        engines.stream()
                .filter(engine -> engine.role() == surplusRole.get())
                .filter(engine -> !isWithinDwell(engineChangedMillis.get(engine.name()), settings.engineDwellMillis()))
                .min(Comparator.comparingLong(EngineSnapshot::backlogTokens).thenComparing(EngineSnapshot::name))
                .ifPresent(engine -> request(new RoleChange(group, engine.name(), deficitRole.get(), gain)));
    }

    private void request(RoleChange change) {
        if (requester.request(change)) {
            groupChangedMillis.put(change.group(), time.monotonicMillis());
            engineChangedMillis.put(change.engine(), time.monotonicMillis());
        }
    }

    private boolean isWithinDwell(Long changedMillis, long dwellMillis) {
        return changedMillis != null && time.monotonicMillis() - changedMillis < dwellMillis;
    }

    /**
     * Returns the role that lacks the most engines, or has the largest surplus. Decode comes first in a tie, as a
     * prefill engine depends on a decode engine.
     */
    private static Optional<EngineRole> roleWithLargestDifference(RoleSplit current, RoleSplit best, boolean deficit) {
        int sign = deficit ? 1 : -1;
        return List.of(EngineRole.DECODE, EngineRole.PREFILL, EngineRole.MIXED).stream()
                .filter(role -> sign * (best.count(role) - current.count(role)) > 0)
                .max(Comparator.comparingInt(role -> sign * (best.count(role) - current.count(role))));
    }

    private static RoleSplit splitOf(List<EngineSnapshot> engines) {
        return new RoleSplit(
                count(engines, EngineRole.PREFILL),
                count(engines, EngineRole.DECODE),
                count(engines, EngineRole.MIXED));
    }

    private static int count(List<EngineSnapshot> engines, EngineRole role) {
        return (int) engines.stream().filter(engine -> engine.role() == role).count();
    }
}
