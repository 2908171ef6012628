package org.dogwoodwinch.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.admission.CapacityEstimator;
import org.dogwoodwinch.admission.GroupCapacity;
import org.dogwoodwinch.time.TimeSource;

/** Estimates the capacity of target groups for admission from the router's view of the fleet. Thread-safe. */
public final class FleetCapacityEstimator implements CapacityEstimator {

    private static final int LARGE_GROUP_TARGETS = 16;
    private static final double TYPICAL_OUTPUT_TOKENS = 200;
    private static final long LARGE_GROUP_CACHE_MILLIS = 10;

    private final FleetView fleet;
    private final RoutingPolicy policy;
    private final TimeSource time;
    private final Map<String, CachedCapacity> cache = new HashMap<>();

    /**
     * Creates an estimator.
     *
     * @param fleet the known state of all targets, not null
     * @param policy the routing parameters, not null
     * @param time the clock, not null
     */
    public FleetCapacityEstimator(FleetView fleet, RoutingPolicy policy, TimeSource time) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
    }

    @Override
    public Optional<GroupCapacity> estimateCapacity(String group) {
        synchronized (fleet) {
            return fleet.group(group).flatMap(state -> cachedOrNew(group, state));
        }
    }

    /**
     * Returns the cached capacity of a large group for a few milliseconds: one request more or less does not change its
     * fastest target.
     */
    private Optional<GroupCapacity> cachedOrNew(String group, GroupState state) {
        long nowMillis = time.monotonicMillis();
        CachedCapacity cached = cache.get(group);
        if (cached != null && cached.size() > LARGE_GROUP_TARGETS && nowMillis < cached.expiresMillis()) {
            return cached.capacity();
        }
        Optional<GroupCapacity> capacity = estimate(state, DecisionTime.now(time));
        cache.put(group, new CachedCapacity(state.size(), nowMillis + LARGE_GROUP_CACHE_MILLIS, capacity));
        return capacity;
    }

    private Optional<GroupCapacity> estimate(GroupState group, DecisionTime now) {
        FastestTarget mixed = fastestOf(group.mixed(), now, true, true);
        FastestTarget prefill = fastestOf(group.prefill(), now, true, false);
        FastestTarget decode = fastestOf(group.decode(), now, false, true);
        boolean hasSplitRoles = prefill.count > 0 && decode.count > 0;
        if (mixed.count == 0 && !hasSplitRoles) {
            return Optional.empty();
        }
        double splitWaitMillis = prefill.waitMillis + decode.waitMillis;
        boolean useMixed = mixed.count > 0 && (!hasSplitRoles || mixed.waitMillis <= splitWaitMillis);
        LoadEstimate prefillLoad = useMixed ? mixed.load : prefill.load;
        LoadEstimate decodeLoad = useMixed ? mixed.load : decode.load;
        return Optional.of(new GroupCapacity(
                mixed.count + (hasSplitRoles ? prefill.count + decode.count : 0),
                useMixed ? mixed.waitMillis : splitWaitMillis,
                prefillLoad.prefillTokensPerMilli(),
                decodeLoad.interTokenMillis(policy.minInterTokenMillis()),
                decodeLoad.decodeTokensPerMilli(),
                group.outputFraction()));
    }

    private FastestTarget fastestOf(List<TargetState> states, DecisionTime now, boolean prefill, boolean decode) {
        FastestTarget fastest = new FastestTarget();
        for (TargetState state : states) {
            if (!state.isReady()
                    || state.isDraining(now.monotonicMillis())
                    || (policy.useHealth() && !state.health().isUsable(now.monotonicMillis()))) {
                continue;
            }
            LoadEstimate load = LoadEstimate.of(state, policy, now.wallMillis());
            double waitMillis = (prefill ? load.prefillWaitMillis() : 0) + (decode ? load.batchWaitMillis() : 0);
            fastest.offer(
                    waitMillis,
                    waitMillis + TYPICAL_OUTPUT_TOKENS * load.interTokenMillis(policy.minInterTokenMillis()),
                    load);
        }
        return fastest;
    }

    /** The target with the shortest expected response time, and the number of usable targets. */
    private static final class FastestTarget {

        private int count;
        private double waitMillis = Double.MAX_VALUE;
        private double answerMillis = Double.MAX_VALUE;
        private LoadEstimate load;

        void offer(double newWaitMillis, double newAnswerMillis, LoadEstimate estimate) {
            count++;
            if (newAnswerMillis < answerMillis) {
                answerMillis = newAnswerMillis;
                waitMillis = newWaitMillis;
                load = estimate;
            }
        }
    }

    private record CachedCapacity(int size, long expiresMillis, Optional<GroupCapacity> capacity) {}
}
