package org.dogwoodwinch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.authority.FencingTokenRule;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineRole;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The holder is paused at one step of sending an order, for longer than its lease. A successor takes the group over,
 * settles the order, and carries out another change of the same engine. Then the old holder wakes up and goes on.
 */
class OrderPauseTest {

    private static final long LONG_MILLIS = 15_000;

    private ControlWorld world = new ControlWorld(3, ControlWorld.POLICIES);
    private int holder;

    /** Paused at any step of its own, the woken holder finds its lease over before it writes: engines see nothing of it. */
    @ParameterizedTest
    @CsvSource({
        "checking,DRAINED", "checking,APPENDED", "checking,READ_BACK", "checking,SENT", "checking,SETTLED",
        "ignoring,DRAINED", "ignoring,APPENDED", "ignoring,READ_BACK", "ignoring,SENT", "ignoring,SETTLED"
    })
    void aHolderThatWakesUpChangesNothing(String group, Step step) {
        pauseHolderAt(group, step);
        world.run(LONG_MILLIS);
        assertEquals(EngineRole.PREFILL, roleOf(group), "the successor finished the change");
        secondChange(group);
        world.instance(holder).clock.resume();
        world.run(LONG_MILLIS);
        assertEquals(EngineRole.DECODE, roleOf(group));
        assertClean();
    }

    /**
     * The order's bytes stay on their way until a later order was applied. An engine that checks tokens refuses them.
     */
    @ParameterizedTest
    @ValueSource(longs = {500, 5_000, 20_000})
    void aCheckingEngineRefusesAnOrderThatArrivesLate(long lateMillis) {
        lateOrder("checking", lateMillis);
        world.run(30_000);
        assertEquals(EngineRole.DECODE, roleOf("checking"));
        assertClean();
    }

    /** The mutant: all tokens are equal. The checker sees the late order applied after the later one. */
    @ParameterizedTest
    @ValueSource(longs = {20_000})
    void withoutFencingTheCheckerSeesTheLateOrder(long lateMillis) {
        FencingTokenRule equalTokens = _offset -> 1;
        world = new ControlWorld(3, ControlWorld.policies(CheckpointRule.ALL_RECORDS_AT_HAND, 500, equalTokens));
        lateOrder("checking", lateMillis);
        world.run(30_000);
        world.checkOrders();
        assertFalse(world.violations.isEmpty());
    }

    /**
     * The window that remains: an engine that ignores tokens applies an order whose bytes were under way for longer than
     * the lease and a successor's change together. The holder reads the engine's state and puts it right.
     */
    @ParameterizedTest
    @ValueSource(longs = {20_000})
    void anIgnoringEngineIsPutRightAfterAnOrderThatArrivesLate(long lateMillis) {
        lateOrder("ignoring", lateMillis);
        world.run(30_000);
        world.checkOrders();
        assertTrue(world.violations.stream().anyMatch(each -> each.contains("after that of")), "the late order came");
        assertEquals(EngineRole.DECODE, roleOf("ignoring"), "and was put right");
    }

    private void pauseHolderAt(String group, Step step) {
        world.run(2_000);
        holder = world.holderOf(group + "@kochi");
        world.onAppend = (index, record) -> {
            boolean intent = record instanceof AuthorityRecord.OrderIntent;
            if (index == holder
                    && ((intent && step == Step.APPENDED)
                            || (record instanceof AuthorityRecord.OrderSettled && step == Step.SETTLED))) {
                world.instance(holder).clock.pause();
            }
        };
        request(group, "p1", EngineRole.PREFILL);
        for (int i = 0; i < 10_000 && !reached(group, step); i++) {
            world.time.advanceMillis(1);
        }
        world.instance(holder).clock.pause();
        world.onAppend = (_index, _record) -> {};
    }

    private boolean reached(String group, Step step) {
        return switch (step) {
            case DRAINED -> world.instance(holder).node.outOfService().contains(group + "-1");
            case READ_BACK ->
                world.truth().authority().engines().engine(group + "-1").isPresent();
            case SENT -> !world.applied.get(group + "-1").isEmpty();
            case APPENDED, SETTLED -> !world.instance(holder).clock.isRunning();
        };
    }

    private void lateOrder(String group, long lateMillis) {
        world.run(2_000);
        holder = world.holderOf(group + "@kochi");
        world.instance(holder).network.setOrderDelays(lateMillis, lateMillis);
        request(group, "p1", EngineRole.PREFILL);
        for (int i = 0;
                i < 200
                        && world.truth()
                                .authority()
                                .engines()
                                .engine(group + "-1")
                                .isEmpty();
                i++) {
            world.run(50);
        }
        world.run(200);
        world.instance(holder).clock.pause();
        world.run(10_000);
        assertEquals(EngineRole.PREFILL, roleOf(group));
        secondChange(group);
        world.instance(holder).network.setOrderDelays(0, 0);
        world.instance(holder).clock.resume();
    }

    private void secondChange(String group) {
        request(group, "p2", EngineRole.DECODE);
        world.run(6_000);
        assertEquals(EngineRole.DECODE, roleOf(group));
    }

    private void request(String group, String planId, EngineRole role) {
        PlannedChange change = PlannedChange.changeRole(group + "-1", role);
        world.instance((holder + 1) % 3).node.requestPlan(new PlanRequest(planId, "meera", change));
    }

    private EngineRole roleOf(String group) {
        List<EngineOrder> orders = world.applied.get(group + "-1");
        return orders.isEmpty()
                ? EngineRole.MIXED
                : orders.get(orders.size() - 1).configuration().role();
    }

    private void assertClean() {
        world.checkOrders();
        world.checkSameStateEverywhere();
        assertEquals(List.of(), world.violations);
    }

    /** Where the holder is when it is paused. */
    enum Step {
        /** The target is marked, the intent is not made. */
        DRAINED,
        /** The intent is on its way to the log. */
        APPENDED,
        /** The intent is on the log, the order is not out. */
        READ_BACK,
        /** The order is out and applied, its answer is not read. */
        SENT,
        /** The end of the order is on its way to the log. */
        SETTLED
    }
}
