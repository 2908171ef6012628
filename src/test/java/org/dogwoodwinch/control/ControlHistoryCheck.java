package org.dogwoodwinch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Tuple;
import org.dogwoodwinch.authority.PlanRecord;

/** Runs a generated schedule in a {@link ControlWorld} and checks its history. */
final class ControlHistoryCheck {

    private static final long CALM_MILLIS = 30_000;

    private static long orders;
    private static long takeovers;

    private ControlHistoryCheck() {}

    static Arbitrary<List<Disturbance>> schedules() {
        return Combinators.combine(
                        kinds(),
                        Arbitraries.longs().between(0, 2_500),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 9))
                .as(Disturbance::new)
                .list()
                .ofMinSize(6)
                .ofMaxSize(16);
    }

    /** Operators' work comes three times as often as each failure, so that failures meet it. */
    private static Arbitrary<Disturbance.Kind> kinds() {
        return Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.of(Disturbance.Kind.values())),
                Tuple.of(
                        1,
                        Arbitraries.of(
                                Disturbance.Kind.ROLE_CHANGE,
                                Disturbance.Kind.MODEL_LOAD,
                                Disturbance.Kind.EDIT,
                                Disturbance.Kind.SLOW_ORDERS)));
    }

    static ControlWorld run(List<Disturbance> schedule, ControlPolicies policies) {
        ControlWorld world = new ControlWorld(3, policies);
        world.run(1_500);
        int number = 0;
        for (Disturbance each : schedule) {
            world.run(each.afterMillis());
            each.happen(world, number++);
        }
        for (int i = 0; i < world.size(); i++) {
            world.instance(i).network.setOrderDelays(0, 0);
        }
        world.run(CALM_MILLIS);
        return world;
    }

    /** All that must always hold, and that every change that was taken ends by itself. */
    static void check(ControlWorld world) {
        orders += world.applied.values().stream().mapToInt(List::size).sum();
        takeovers += world.truth().authority().leases().leases().values().stream()
                .filter(lease -> !lease.holder().startsWith("entry-0"))
                .count();
        world.checkOrders();
        world.checkSameStateEverywhere();
        List<String> unfinished = world.truth().authority().plans().plans().stream()
                .filter(PlanRecord::isActive)
                .map(plan -> plan.id() + " " + plan.state())
                .toList();
        assertEquals(List.of(), unfinished);
        assertEquals(List.of(), world.violations);
    }

    /** A check that never meets what it checks would pass for nothing. */
    static void checkThatSchedulesReachedIt(int schedules) {
        assertTrue(orders > schedules, () -> "orders applied: " + orders);
        assertTrue(takeovers > schedules / 10, () -> "groups taken over: " + takeovers);
    }
}
