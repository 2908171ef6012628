package org.dogwoodwinch.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.admission.CapacityEstimator;
import org.dogwoodwinch.admission.GroupCapacity;
import org.dogwoodwinch.time.TimeSource;

/** Estimates group capacities for admission from the router's view of the fleet. Thread-safe. */
public final class FleetCapacity implements CapacityEstimator {

    private static final int LARGE_GROUP = 16;
    private static final double USUAL_TOKENS = 200;
    private static final long LARGE_GROUP_KEEP_MILLIS = 10;

    private final FleetView fleet;
    private final RoutingPolicy policy;
    private final TimeSource time;
    private final Map<String, Kept> kept = new HashMap<>();

    /**
     * Creates an estimator.
     *
     * @param fleet what is believed of the targets, not null
     * @param policy the router's constants, not null
     * @param time the clock, not null
     */
    public FleetCapacity(FleetView fleet, RoutingPolicy policy, TimeSource time) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
    }

    @Override
    public Optional<GroupCapacity> capacityOf(String group) {
        synchronized (fleet) {
            return fleet.group(group).flatMap(state -> keptOrNew(group, state));
        }
    }

    /** A large group is looked at only now and then: one request more or less does not change its best target. */
    private Optional<GroupCapacity> keptOrNew(String group, GroupState state) {
        long nowMillis = time.monotonicMillis();
        Kept known = kept.get(group);
        if (known != null && known.size() > LARGE_GROUP && nowMillis < known.untilMillis()) {
            return known.capacity();
        }
        Optional<GroupCapacity> capacity = estimate(state, RouteClock.read(time));
        kept.put(group, new Kept(state.size(), nowMillis + LARGE_GROUP_KEEP_MILLIS, capacity));
        return capacity;
    }

    private Optional<GroupCapacity> estimate(GroupState group, RouteClock clock) {
        Best mixed = best(group.mixed(), clock, true, true);
        Best prefill = best(group.prefill(), clock, true, false);
        Best decode = best(group.decode(), clock, false, true);
        boolean split = prefill.count > 0 && decode.count > 0;
        if (mixed.count == 0 && !split) {
            return Optional.empty();
        }
        double splitWait = prefill.waitMillis + decode.waitMillis;
        boolean whole = mixed.count > 0 && (!split || mixed.waitMillis <= splitWait);
        LoadEstimate first = whole ? mixed.load : prefill.load;
        LoadEstimate then = whole ? mixed.load : decode.load;
        return Optional.of(new GroupCapacity(
                mixed.count + (split ? prefill.count + decode.count : 0),
                whole ? mixed.waitMillis : splitWait,
                first.prefillTokensPerMilli(),
                then.tokenMillis(policy.firstStepMillis()),
                then.decodeTokensPerMilli(),
                group.outputShare()));
    }

    private Best best(List<TargetState> states, RouteClock clock, boolean prefill, boolean decode) {
        Best best = new Best();
        for (TargetState state : states) {
            if (!state.ready()
                    || state.leaving(clock.monotonicMillis())
                    || (policy.useHealth() && !state.health().usable(clock.monotonicMillis()))) {
                continue;
            }
            LoadEstimate load = LoadEstimate.of(state, policy, clock.wallMillis());
            double wait = (prefill ? load.prefillWaitMillis() : 0) + (decode ? load.slotWaitMillis() : 0);
            best.offer(wait, wait + USUAL_TOKENS * load.tokenMillis(policy.firstStepMillis()), load);
        }
        return best;
    }

    /** The target that would answer soonest, and how many there are. */
    private static final class Best {

        private int count;
        private double waitMillis = Double.MAX_VALUE;
        private double answerMillis = Double.MAX_VALUE;
        private LoadEstimate load;

        void offer(double wait, double answer, LoadEstimate estimate) {
            count++;
            if (answer < answerMillis) {
                answerMillis = answer;
                waitMillis = wait;
                load = estimate;
            }
        }
    }

    private record Kept(int size, long untilMillis, Optional<GroupCapacity> capacity) {}
}
