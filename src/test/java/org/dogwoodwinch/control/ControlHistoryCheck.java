package org.dogwoodwinch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;
import org.dogwoodwinch.authority.PlanRecord;

/** Runs a generated schedule in a {@link ControlSimulation} and checks the invariants on its history. */
final class ControlHistoryCheck {

    private static final long RECOVERY_MILLIS = 30_000;

    private static long orderCount;
    private static long takeoverCount;

    private ControlHistoryCheck() {}

    static Arbitrary<List<SimulationEvent>> schedules() {
        return Combinators.combine(
                        kinds(),
                        Arbitraries.longs().between(0, 2_500),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 9))
                .as(SimulationEvent::new)
                .list()
                .ofMinSize(6)
                .ofMaxSize(16);
    }

    /** Generates operators' requests several times as often as each fault, so that faults coincide with them. */
    private static Arbitrary<SimulationEvent.Kind> kinds() {
        return Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.of(SimulationEvent.Kind.values())),
                Tuple.of(
                        1,
                        Arbitraries.of(
                                SimulationEvent.Kind.ROLE_CHANGE,
                                SimulationEvent.Kind.MODEL_LOAD,
                                SimulationEvent.Kind.EDIT,
                                SimulationEvent.Kind.SLOW_ORDERS)));
    }

    static ControlSimulation runSchedule(List<SimulationEvent> schedule, ControlPolicies policies) {
        ControlSimulation simulation = new ControlSimulation(3, policies);
        simulation.advance(1_500);
        int eventIndex = 0;
        for (SimulationEvent event : schedule) {
            simulation.advance(event.afterMillis());
            event.applyTo(simulation, eventIndex++);
        }
        for (int i = 0; i < simulation.instanceCount(); i++) {
            simulation.instance(i).network.setOrderDelays(0, 0);
        }
        simulation.advance(RECOVERY_MILLIS);
        return simulation;
    }

    /** Checks all invariants, and that every accepted change reaches a final state without intervention. */
    static void checkInvariants(ControlSimulation simulation) {
        orderCount +=
                simulation.appliedOrders.values().stream().mapToInt(List::size).sum();
        takeoverCount += simulation.referenceState().authorityState().leases().leases().values().stream()
                .filter(lease -> !lease.holder().startsWith("entry-0"))
                .count();
        simulation.checkOrders();
        simulation.checkStatesConverged();
        List<String> unfinished = simulation.referenceState().authorityState().plans().plans().stream()
                .filter(PlanRecord::isActive)
                .map(plan -> plan.id() + " " + plan.state())
                .toList();
        assertEquals(List.of(), unfinished);
        assertEquals(List.of(), simulation.violations);
    }

    /** Guards against schedules without orders or takeovers, for which the checks would pass vacuously. */
    static void checkCoverage(int scheduleCount) {
        assertTrue(orderCount > scheduleCount, () -> "applied orders: " + orderCount);
        assertTrue(takeoverCount > scheduleCount / 10, () -> "takeovers of groups: " + takeoverCount);
    }
}
