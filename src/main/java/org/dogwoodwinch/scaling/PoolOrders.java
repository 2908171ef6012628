package org.dogwoodwinch.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Decides which orders of a service's plan have to be sent, and in which sequence. Spot engines come first, then
 * on-demand engines, then pools of which engines are released. Performs no I/O: the caller sends the orders and reports
 * the outcomes. Not thread-safe.
 *
 * <p>Failure: an order without an answer is executed seconds later, after newer ones that the platform has accepted, and
 * the pool gets an old size; or spot engines are reclaimed. An accepted order is therefore sent again if the pool still has
 * another number of engines after the time in which an engine starts, and soon if it had the right number before.
 *
 * <p>Failure: on-demand engines are released in exchange for spot engines that the platform does not have, and callers
 * find too few engines. On-demand engines are released only while no ordered spot engine is missing.
 *
 * <p>Load: a service has at most two pools in each of 13 data centres, and a step looks at each pool once.
 */
public final class PoolOrders {

    /**
     * Time for which no engine is ordered in a pool after the platform had none there. Spot engines can be unavailable
     * everywhere for 10 s. Engines that are available again are ordered within this time, and refused orders use a
     * small part of the 50 calls per second that the platform accepts.
     */
    public static final long UNAVAILABLE_MILLIS = 3_000;

    /** Covers the time in which a new engine's entry reaches this instance, and that of a departing engine. */
    private static final long LISTING_DELAY_MILLIS = 2_000;

    private final Map<EnginePool, Integer> confirmedCounts = new HashMap<>();
    private final Map<EnginePool, Long> unavailableUntilMillis = new HashMap<>();
    private final Map<EnginePool, Long> differsSinceMillis = new HashMap<>();

    /** Pools that had the confirmed size since it was confirmed, so that no engine of theirs is starting. */
    private final Set<EnginePool> completePools = new HashSet<>();

    /** Creates the state of a holder that has sent nothing. */
    public PoolOrders() {}

    /**
     * An order that has to be sent.
     *
     * @param pool the pool, not null
     * @param desiredCount the number of engines that the pool should have
     * @param isIncrease whether the pool gets more engines, so that the platform may have none
     */
    public record DueOrder(EnginePool pool, int desiredCount, boolean isIncrease) {

        /** Validates the components. */
        public DueOrder {
            Objects.requireNonNull(pool, "pool");
        }
    }

    /**
     * Returns the orders that are not confirmed and may be sent now.
     *
     * @param plan the plan, not null
     * @param listedCounts the number of engines of each pool that are listed and not draining, not null
     * @param bootMillis time from an order until a new engine serves
     * @param nowMillis monotonic milliseconds
     * @return the orders in the sequence in which they are sent; empty if the plan is confirmed
     */
    public List<DueOrder> due(ScalePlan plan, Map<EnginePool, Integer> listedCounts, long bootMillis, long nowMillis) {
        List<DueOrder> spotIncreases = new ArrayList<>();
        List<DueOrder> onDemandIncreases = new ArrayList<>();
        List<DueOrder> others = new ArrayList<>();
        boolean spotMissing = isSpotMissing(plan, listedCounts);
        plan.inOrder().forEach((pool, desiredCount) -> {
            int listedCount = listedCounts.getOrDefault(pool, 0);
            if (isConfirmed(pool, desiredCount, listedCount, bootMillis, nowMillis)) {
                return;
            }
            int presentCount = confirmedCounts.getOrDefault(pool, listedCount);
            boolean isSpot = pool.kind() == EngineKind.SPOT;
            if (desiredCount <= presentCount) {
                boolean isHeldBack = spotMissing && !isSpot && desiredCount < presentCount;
                if (!isHeldBack) {
                    others.add(new DueOrder(pool, desiredCount, false));
                }
            } else if (!isUnavailable(pool, nowMillis)) {
                (isSpot ? spotIncreases : onDemandIncreases).add(new DueOrder(pool, desiredCount, true));
            }
        });
        List<DueOrder> due = new ArrayList<>(spotIncreases);
        due.addAll(onDemandIncreases);
        due.addAll(others);
        return due;
    }

    private boolean isConfirmed(EnginePool pool, int desiredCount, int listedCount, long bootMillis, long nowMillis) {
        Integer confirmed = confirmedCounts.get(pool);
        if (confirmed == null || confirmed != desiredCount) {
            differsSinceMillis.remove(pool);
            return false;
        }
        if (listedCount == desiredCount) {
            differsSinceMillis.remove(pool);
            completePools.add(pool);
            return true;
        }
        long sinceMillis = differsSinceMillis.computeIfAbsent(pool, _pool -> nowMillis);
        long settleMillis = LISTING_DELAY_MILLIS + (completePools.contains(pool) ? 0 : bootMillis);
        if (nowMillis - sinceMillis < settleMillis) {
            return true;
        }
        differsSinceMillis.remove(pool);
        confirmedCounts.remove(pool);
        return false;
    }

    private static boolean isSpotMissing(ScalePlan plan, Map<EnginePool, Integer> listedCounts) {
        return sumOfSpot(listedCounts) < sumOfSpot(plan.desiredCounts());
    }

    private static int sumOfSpot(Map<EnginePool, Integer> counts) {
        return counts.entrySet().stream()
                .filter(pool -> pool.getKey().kind() == EngineKind.SPOT)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private boolean isUnavailable(EnginePool pool, long nowMillis) {
        Long untilMillis = unavailableUntilMillis.get(pool);
        return untilMillis != null && nowMillis < untilMillis;
    }

    /**
     * Records the outcome of an order.
     *
     * @param order the order, not null
     * @param outcome the outcome, not null
     * @param nowMillis monotonic milliseconds
     */
    public void recordOutcome(DueOrder order, ScaleOutcome outcome, long nowMillis) {
        EnginePool pool = order.pool();
        differsSinceMillis.remove(pool);
        completePools.remove(pool);
        switch (outcome) {
            case ACCEPTED -> {
                confirmedCounts.put(pool, order.desiredCount());
                unavailableUntilMillis.remove(pool);
            }
            case CONFLICT -> {
                if (order.isIncrease()) {
                    unavailableUntilMillis.put(pool, nowMillis + UNAVAILABLE_MILLIS);
                }
            }
            case REJECTED -> {}
            // It may have been executed, or not, so the pool has to be ordered in any case.
            case UNKNOWN -> confirmedCounts.remove(pool);
        }
    }

    /** Forgets what was confirmed, because another holder may have sent orders since. */
    public void forgetConfirmed() {
        confirmedCounts.clear();
        differsSinceMillis.clear();
    }

    /**
     * Returns the pools of which the platform had no more engines.
     *
     * @param nowMillis monotonic milliseconds
     * @return until when none is ordered there again, in monotonic milliseconds
     */
    public Map<EnginePool, Long> unavailableUntilMillis(long nowMillis) {
        unavailableUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        return Map.copyOf(unavailableUntilMillis);
    }
}
