package org.dogwoodwinch.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.dogwoodwinch.scaling.PoolOrders.DueOrder;
import org.junit.jupiter.api.Test;

class PoolOrdersTest {

    private static final EnginePool SPOT_A = new EnginePool("a", EngineKind.SPOT);
    private static final EnginePool FIXED_A = new EnginePool("a", EngineKind.ON_DEMAND);
    private static final EnginePool FIXED_B = new EnginePool("b", EngineKind.ON_DEMAND);
    private static final long BOOT_MILLIS = 4_000;
    private static final ScalePlan PLAN = new ScalePlan(Map.of(FIXED_A, 2, FIXED_B, 5, SPOT_A, 4));

    private final PoolOrders orders = new PoolOrders();

    private List<DueOrder> due(Map<EnginePool, Integer> ready, long nowMillis) {
        return orders.due(PLAN, ready, BOOT_MILLIS, nowMillis);
    }

    private void record(ScaleOutcome outcome, Map<EnginePool, Integer> ready, long nowMillis) {
        due(ready, nowMillis).forEach(order -> orders.recordOutcome(order, outcome, nowMillis));
    }

    @Test
    void spotEnginesComeFirstAndReleasesLast() {
        assertEquals(
                List.of(new DueOrder(SPOT_A, 4, true), new DueOrder(FIXED_B, 5, true), new DueOrder(FIXED_A, 2, false)),
                orders.due(PLAN, Map.of(FIXED_A, 2, SPOT_A, 2), BOOT_MILLIS, 0));
    }

    /** Failure: on-demand engines are released in exchange for spot engines that are not there yet. */
    @Test
    void onDemandEnginesAreReleasedOnceSpotEnginesAreReady() {
        Map<EnginePool, Integer> before = Map.of(FIXED_A, 6, FIXED_B, 5);
        assertEquals(List.of(new DueOrder(SPOT_A, 4, true), new DueOrder(FIXED_B, 5, false)), due(before, 0));
        record(ScaleOutcome.ACCEPTED, before, 0);
        assertEquals(List.of(), due(before, 250));

        Map<EnginePool, Integer> booted = Map.of(FIXED_A, 6, FIXED_B, 5, SPOT_A, 4);
        assertEquals(List.of(new DueOrder(FIXED_A, 2, false)), due(booted, BOOT_MILLIS));
    }

    /** Failure: the platform is asked in each step for engines that it does not have. */
    @Test
    void poolWithoutEnginesIsOrderedAgainAfterSomeSeconds() {
        Map<EnginePool, Integer> ready = Map.of(FIXED_A, 2, FIXED_B, 5);
        record(ScaleOutcome.CONFLICT, ready, 0);
        assertEquals(Map.of(SPOT_A, PoolOrders.UNAVAILABLE_MILLIS), orders.unavailableUntilMillis(10));

        long againMillis = PoolOrders.UNAVAILABLE_MILLIS;
        assertEquals(false, due(ready, againMillis - 1).contains(new DueOrder(SPOT_A, 4, true)));
        assertEquals(true, due(ready, againMillis).contains(new DueOrder(SPOT_A, 4, true)));
        assertEquals(Map.of(), orders.unavailableUntilMillis(againMillis));
    }

    /** Failure: an earlier order is executed after a newer one was accepted, and nobody notices. */
    @Test
    void poolThatKeepsAnotherSizeIsOrderedAgain() {
        Map<EnginePool, Integer> asOrdered = Map.of(FIXED_A, 2, FIXED_B, 5, SPOT_A, 4);
        Map<EnginePool, Integer> larger = Map.of(FIXED_A, 2, FIXED_B, 8, SPOT_A, 4);
        record(ScaleOutcome.ACCEPTED, asOrdered, 0);
        assertEquals(List.of(), due(larger, 1_000));
        assertEquals(List.of(), due(larger, 6_999));
        assertEquals(List.of(new DueOrder(FIXED_B, 5, false)), due(larger, 7_000));

        record(ScaleOutcome.ACCEPTED, larger, 7_000);
        assertEquals(List.of(), due(asOrdered, 60_000));
        assertEquals(List.of(), due(larger, 61_000));
        assertEquals(List.of(), due(asOrdered, 62_000));
        assertEquals(List.of(), due(larger, 63_000));
        assertEquals(List.of(new DueOrder(FIXED_B, 5, false)), due(larger, 65_000));
    }

    /** Failure: an order that may not have been executed counts as confirmed, because an earlier one was. */
    @Test
    void orderWithoutAnswerIsDueAgainAndRejectedOneToo() {
        Map<EnginePool, Integer> asOrdered = Map.of(FIXED_A, 2, FIXED_B, 5, SPOT_A, 4);
        record(ScaleOutcome.ACCEPTED, asOrdered, 0);
        DueOrder larger = new DueOrder(FIXED_B, 6, true);
        orders.recordOutcome(larger, ScaleOutcome.UNKNOWN, 0);
        assertEquals(List.of(new DueOrder(FIXED_B, 5, false)), due(asOrdered, 250));

        record(ScaleOutcome.ACCEPTED, asOrdered, 250);
        orders.recordOutcome(larger, ScaleOutcome.REJECTED, 250);
        assertEquals(List.of(), due(asOrdered, 500));
        ScalePlan more = new ScalePlan(Map.of(FIXED_B, 6));
        assertEquals(List.of(larger), orders.due(more, asOrdered, BOOT_MILLIS, 500));
    }
}
