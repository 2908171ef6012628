package org.dogwoodwinch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.authority.OutOfServiceReason;
import org.dogwoodwinch.authority.PlanState;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.TargetReply;
import org.junit.jupiter.api.Test;

class PlannedChangeTest {

    private final ControlWorld world = new ControlWorld(3, ControlWorld.POLICIES);

    /** An operator changes a role: the engine drains, gets one order, and serves with the new role; three appends more. */
    @Test
    void aRoleChangeIsDrainedThenOrdered() {
        world.run(2_000);
        request("p1", PlannedChange.changeRole("checking-1", EngineRole.PREFILL));
        world.run(400);
        assertEquals(Set.of("checking-1"), world.instance(2).node.outOfService());
        world.run(4_000);
        assertEquals(PlanState.DONE, state("p1"));
        assertEquals(EngineRole.PREFILL, stateOf("checking-1").configuration().role());
        assertEquals(Set.of(), world.instance(2).node.outOfService());
        assertEquals(1, world.applied.get("checking-1").size());
        assertClean();
    }

    /** A booking runs on the target for a long time: no order goes out until it is finished, however long that takes. */
    @Test
    void urgentWorkIsNeverCut() {
        world.run(2_000);
        world.inFlight.put("checking-1", new TargetActivity.RequestsInFlight(true, 1, 1));
        request("p1", PlannedChange.changeRole("checking-1", EngineRole.PREFILL));
        world.run(30_000);
        assertEquals(PlanState.DRAINING, state("p1"));
        assertEquals(List.of(), world.applied.get("checking-1"));
        world.inFlight.put("checking-1", new TargetActivity.RequestsInFlight(false, 0, 0));
        world.run(5_000);
        assertEquals(PlanState.DRAINING, state("p1"));
        world.inFlight.remove("checking-1");
        world.run(4_000);
        assertEquals(PlanState.DONE, state("p1"));
    }

    /**
     * The daemon that carries a change out is killed at one moment or another: another instance takes the group over and
     * finishes the change; the engine gets one order, at most repeated.
     */
    @Test
    void aSuccessorFinishesWhatAKilledHolderBegan() {
        for (int killedAfterMillis = 100; killedAfterMillis <= 2_500; killedAfterMillis += 200) {
            ControlWorld each = new ControlWorld(3, ControlWorld.POLICIES);
            each.run(2_000);
            int holder = each.holderOf("ignoring@kochi");
            each.instance((holder + 1) % 3)
                    .node
                    .requestPlan(
                            new PlanRequest("p1", "meera", PlannedChange.changeRole("ignoring-1", EngineRole.DECODE)));
            each.run(killedAfterMillis);
            each.restart(holder);
            each.run(12_000);
            assertEquals(
                    PlanState.DONE,
                    each.truth().authority().plans().plan("p1").orElseThrow().state(),
                    "killed after " + killedAfterMillis);
            each.checkOrders();
            each.checkSameStateEverywhere();
            assertEquals(List.of(), each.violations);
        }
    }

    /** The engine crashes while it applies an order and forgets it: the order goes out again and the change is finished. */
    @Test
    void anEngineThatCrashesInTheMiddleGetsItsOrderAgain() {
        world.run(2_000);
        request("p1", new PlannedChange(PlannedChange.Kind.LOAD_MODEL, "checking-1", "", null, "m", "2", "", ""));
        world.run(900);
        for (int i = 0; i < 20 && world.applied.get("checking-1").isEmpty(); i++) {
            world.run(50);
        }
        world.engines.get("checking-1").crash();
        world.run(10_000);
        assertEquals(PlanState.DONE, state("p1"));
        assertEquals("2", stateOf("checking-1").configuration().modelVersion());
        assertClean();
    }

    /** An engine runs something else than was ordered, because someone else changed it: the order is asserted again. */
    @Test
    void anEngineThatStrayedIsPutRight() {
        world.run(2_000);
        request("p1", PlannedChange.changeRole("ignoring-1", EngineRole.PREFILL));
        world.run(4_000);
        world.engines
                .get("ignoring-1")
                .order(new org.dogwoodwinch.target.EngineOrder(
                        "stray", 0, stateOf("ignoring-1").configuration().withRole(EngineRole.DECODE)));
        world.run(4_000);
        assertEquals(EngineRole.PREFILL, stateOf("ignoring-1").configuration().role());
    }

    @Test
    void drainRestoreReplaceAndWithdrawMarkTheirTargets() {
        world.run(2_000);
        request("p1", PlannedChange.of(PlannedChange.Kind.DRAIN, "checking-1"));
        request("p2", new PlannedChange(PlannedChange.Kind.REPLACE, "ignoring-1", "", null, "", "", "", "ignoring-2"));
        world.run(8_000);
        assertEquals(Set.of("checking-1", "ignoring-1"), world.instance(0).node.outOfService());
        assertEquals(
                OutOfServiceReason.WITHDRAWN,
                world.truth().authority().plans().outOfServiceReasons().get("ignoring-1"));
        request("p3", PlannedChange.of(PlannedChange.Kind.RESTORE, "checking-1"));
        world.run(500);
        assertEquals(Set.of("ignoring-1"), world.instance(0).node.outOfService());
        assertClean();
    }

    /** Cancelling works until the order is on the log, and is refused afterwards. */
    @Test
    void aPlanIsCancelledUntilItsOrderIsOnTheLog() {
        world.run(2_000);
        world.inFlight.put("checking-1", new TargetActivity.RequestsInFlight(true, 1, 1));
        request("p1", PlannedChange.changeRole("checking-1", EngineRole.PREFILL));
        world.run(1_000);
        world.instance(1).node.cancelPlan("p1", "joao");
        world.run(500);
        assertEquals(PlanState.CANCELLED, state("p1"));
        assertFalse(world.instance(0).node.outOfService().contains("checking-1"));
        request("p2", PlannedChange.changeRole("ignoring-1", EngineRole.PREFILL));
        world.run(5_000);
        CompletionStage<PlanAnswer> answer = world.instance(1).node.cancelPlan("p2", "joao");
        world.run(500);
        assertEquals(
                PlanAnswer.Verdict.REFUSED,
                answer.toCompletableFuture().getNow(null).verdict());
    }

    /** The log goes out in the middle of a change: nothing is ordered meanwhile, and the change is finished afterwards. */
    @Test
    void anOutageHoldsChangesUp() {
        world.run(2_000);
        request("p1", PlannedChange.changeRole("checking-1", EngineRole.PREFILL));
        world.run(400);
        world.log.setMode(org.dogwoodwinch.standin.MemoryLog.Mode.REFUSING);
        world.run(15_000);
        assertEquals(List.of(), world.applied.get("checking-1"));
        world.log.setMode(org.dogwoodwinch.standin.MemoryLog.Mode.UP);
        world.run(12_000);
        assertEquals(PlanState.DONE, state("p1"));
        assertClean();
    }

    @Test
    void faultyRequestsAreRefusedByField() {
        world.run(2_000);
        PlannedChange change =
                new PlannedChange(PlannedChange.Kind.LOAD_MODEL, "checking-1", "", null, "m", "", "", "");
        assertEquals(
                PlanAnswer.refused("p1", "modelVersion: is missing"),
                world.instance(0)
                        .node
                        .requestPlan(new PlanRequest("p1", "meera", change))
                        .toCompletableFuture()
                        .getNow(null));
    }

    private void request(String planId, PlannedChange change) {
        world.instance(1).node.requestPlan(new PlanRequest(planId, "meera", change));
    }

    private PlanState state(String planId) {
        return world.truth().authority().plans().plan(planId).orElseThrow().state();
    }

    private EngineState stateOf(String engine) {
        TargetReply<EngineState> reply =
                world.engines.get(engine).state().toCompletableFuture().getNow(null);
        assertTrue(reply instanceof TargetReply.Answer<EngineState>, () -> "no state: " + reply);
        return ((TargetReply.Answer<EngineState>) reply).value();
    }

    private void assertClean() {
        world.checkOrders();
        world.checkSameStateEverywhere();
        assertEquals(List.of(), world.violations);
    }
}
