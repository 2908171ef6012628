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

    private final ControlSimulation simulation = new ControlSimulation(3, ControlSimulation.POLICIES);

    /** A role change drains the engine, sends it exactly one order, and puts it back in service with the new role. */
    @Test
    void roleChangeDrainsBeforeItsOrder() {
        simulation.advance(2_000);
        request("p1", PlannedChange.changeRole("checking-1", EngineRole.PREFILL));
        simulation.advance(400);
        assertEquals(Set.of("checking-1"), simulation.instance(2).node.outOfServiceTargets());
        simulation.advance(4_000);
        assertEquals(PlanState.DONE, planState("p1"));
        assertEquals(
                EngineRole.PREFILL, engineState("checking-1").configuration().role());
        assertEquals(Set.of(), simulation.instance(2).node.outOfServiceTargets());
        assertEquals(1, simulation.appliedOrders.get("checking-1").size());
        assertNoViolations();
    }

    /** Guards against an order that interrupts an urgent request, however long that request runs. */
    @Test
    void orderWaitsForUrgentWork() {
        simulation.advance(2_000);
        simulation.inFlight.put("checking-1", new TargetActivity.RequestsInFlight(true, 1, 1));
        request("p1", PlannedChange.changeRole("checking-1", EngineRole.PREFILL));
        simulation.advance(30_000);
        assertEquals(PlanState.DRAINING, planState("p1"));
        assertEquals(List.of(), simulation.appliedOrders.get("checking-1"));
        simulation.inFlight.put("checking-1", new TargetActivity.RequestsInFlight(false, 0, 0));
        simulation.advance(5_000);
        assertEquals(PlanState.DRAINING, planState("p1"));
        simulation.inFlight.remove("checking-1");
        simulation.advance(4_000);
        assertEquals(PlanState.DONE, planState("p1"));
    }

    /** After a kill of the lease holder at any moment, a successor finishes the change with the same order. */
    @Test
    void successorFinishesChangeOfKilledHolder() {
        for (int killedAfterMillis = 100; killedAfterMillis <= 2_500; killedAfterMillis += 200) {
            ControlSimulation otherSimulation = new ControlSimulation(3, ControlSimulation.POLICIES);
            otherSimulation.advance(2_000);
            int holder = otherSimulation.holderIndexOf("ignoring@kochi");
            otherSimulation
                    .instance((holder + 1) % 3)
                    .node
                    .requestPlan(
                            new PlanRequest("p1", "meera", PlannedChange.changeRole("ignoring-1", EngineRole.DECODE)));
            otherSimulation.advance(killedAfterMillis);
            otherSimulation.restart(holder);
            otherSimulation.advance(12_000);
            assertEquals(
                    PlanState.DONE,
                    otherSimulation
                            .referenceState()
                            .authorityState()
                            .plans()
                            .plan("p1")
                            .orElseThrow()
                            .state(),
                    "killed after " + killedAfterMillis);
            otherSimulation.checkOrders();
            otherSimulation.checkStatesConverged();
            assertEquals(List.of(), otherSimulation.violations);
        }
    }

    /** An engine that crashes while it applies an order loses the order; it is sent again and the change completes. */
    @Test
    void orderIsRepeatedAfterEngineCrash() {
        simulation.advance(2_000);
        request("p1", new PlannedChange(PlannedChange.Kind.LOAD_MODEL, "checking-1", "", null, "m", "2", "", ""));
        simulation.advance(900);
        for (int i = 0; i < 20 && simulation.appliedOrders.get("checking-1").isEmpty(); i++) {
            simulation.advance(50);
        }
        simulation.engines.get("checking-1").crash();
        simulation.advance(10_000);
        assertEquals(PlanState.DONE, planState("p1"));
        assertEquals("2", engineState("checking-1").configuration().modelVersion());
        assertNoViolations();
    }

    /** An engine whose configuration was changed by another party gets its last order again. */
    @Test
    void divergedEngineIsCorrected() {
        simulation.advance(2_000);
        request("p1", PlannedChange.changeRole("ignoring-1", EngineRole.PREFILL));
        simulation.advance(4_000);
        simulation
                .engines
                .get("ignoring-1")
                .sendOrder(new org.dogwoodwinch.target.EngineOrder(
                        "stray", 0, engineState("ignoring-1").configuration().withRole(EngineRole.DECODE)));
        simulation.advance(4_000);
        assertEquals(
                EngineRole.PREFILL, engineState("ignoring-1").configuration().role());
    }

    @Test
    void drainRestoreAndReplaceMarkTargets() {
        simulation.advance(2_000);
        request("p1", PlannedChange.of(PlannedChange.Kind.DRAIN, "checking-1"));
        request("p2", new PlannedChange(PlannedChange.Kind.REPLACE, "ignoring-1", "", null, "", "", "", "ignoring-2"));
        simulation.advance(8_000);
        assertEquals(
                Set.of("checking-1", "ignoring-1"), simulation.instance(0).node.outOfServiceTargets());
        assertEquals(
                OutOfServiceReason.WITHDRAWN,
                simulation
                        .referenceState()
                        .authorityState()
                        .plans()
                        .outOfServiceReasons()
                        .get("ignoring-1"));
        request("p3", PlannedChange.of(PlannedChange.Kind.RESTORE, "checking-1"));
        simulation.advance(500);
        assertEquals(Set.of("ignoring-1"), simulation.instance(0).node.outOfServiceTargets());
        assertNoViolations();
    }

    /** A plan can be cancelled until its order is on the log; a later cancellation is refused. */
    @Test
    void planIsCancellableUntilOrderIsLogged() {
        simulation.advance(2_000);
        simulation.inFlight.put("checking-1", new TargetActivity.RequestsInFlight(true, 1, 1));
        request("p1", PlannedChange.changeRole("checking-1", EngineRole.PREFILL));
        simulation.advance(1_000);
        simulation.instance(1).node.cancelPlan("p1", "joao");
        simulation.advance(500);
        assertEquals(PlanState.CANCELLED, planState("p1"));
        assertFalse(simulation.instance(0).node.outOfServiceTargets().contains("checking-1"));
        request("p2", PlannedChange.changeRole("ignoring-1", EngineRole.PREFILL));
        simulation.advance(5_000);
        CompletionStage<PlanAnswer> answer = simulation.instance(1).node.cancelPlan("p2", "joao");
        simulation.advance(500);
        assertEquals(
                PlanAnswer.Verdict.REFUSED,
                answer.toCompletableFuture().getNow(null).verdict());
    }

    /** During a log outage no order is sent; the change completes after the outage. */
    @Test
    void logOutageDelaysChange() {
        simulation.advance(2_000);
        request("p1", PlannedChange.changeRole("checking-1", EngineRole.PREFILL));
        simulation.advance(400);
        simulation.log.setMode(org.dogwoodwinch.standin.MemoryLog.Mode.REFUSING);
        simulation.advance(15_000);
        assertEquals(List.of(), simulation.appliedOrders.get("checking-1"));
        simulation.log.setMode(org.dogwoodwinch.standin.MemoryLog.Mode.UP);
        simulation.advance(12_000);
        assertEquals(PlanState.DONE, planState("p1"));
        assertNoViolations();
    }

    @Test
    void invalidRequestNamesItsField() {
        simulation.advance(2_000);
        PlannedChange change =
                new PlannedChange(PlannedChange.Kind.LOAD_MODEL, "checking-1", "", null, "m", "", "", "");
        assertEquals(
                PlanAnswer.refused("p1", "modelVersion: is missing"),
                simulation
                        .instance(0)
                        .node
                        .requestPlan(new PlanRequest("p1", "meera", change))
                        .toCompletableFuture()
                        .getNow(null));
    }

    private void request(String planId, PlannedChange change) {
        simulation.instance(1).node.requestPlan(new PlanRequest(planId, "meera", change));
    }

    private PlanState planState(String planId) {
        return simulation
                .referenceState()
                .authorityState()
                .plans()
                .plan(planId)
                .orElseThrow()
                .state();
    }

    private EngineState engineState(String engine) {
        TargetReply<EngineState> reply = simulation
                .engines
                .get(engine)
                .fetchState()
                .toCompletableFuture()
                .getNow(null);
        assertTrue(reply instanceof TargetReply.Answer<EngineState>, () -> "no state: " + reply);
        return ((TargetReply.Answer<EngineState>) reply).value();
    }

    private void assertNoViolations() {
        simulation.checkOrders();
        simulation.checkStatesConverged();
        assertEquals(List.of(), simulation.violations);
    }
}
