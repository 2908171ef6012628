package org.dogwoodwinch.roles;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class RolePlannerTest {

    private static final String GROUP = "reading";
    private static final List<ClassDemand> URGENT_AND_LONG_PROMPT_DEMAND = List.of(
            new ClassDemand(WorkClass.URGENT, 3, 300, 500, 9_000),
            new ClassDemand(WorkClass.LONG_READ, 1.5, 9_000, 20, 600_000));
    private static final List<ClassDemand> URGENT_DEMAND_ONLY =
            List.of(new ClassDemand(WorkClass.URGENT, 8, 300, 500, 20_000));

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<RoleChange> changes = new ArrayList<>();
    private List<ClassDemand> shortTermDemand = URGENT_AND_LONG_PROMPT_DEMAND;
    private List<ClassDemand> longTermDemand = URGENT_AND_LONG_PROMPT_DEMAND;
    private boolean controlLogUnavailable;

    @Test
    void changeIsProposedIfGainExceedsPrice() {
        newPlanner(0).plan(GROUP, newEngines(4, 0));
        assertEquals(1, changes.size());
        assertTrue(changes.get(0).gain() > 0);
    }

    @Test
    void highPricePreventsTheSameChange() {
        newPlanner(10_000).plan(GROUP, newEngines(4, 0));
        assertEquals(List.of(), changes);
    }

    @Test
    void shortBurstDoesNotTriggerAChange() {
        longTermDemand = URGENT_DEMAND_ONLY;
        newPlanner(0).plan(GROUP, newEngines(4, 0));
        assertEquals(List.of(), changes);
    }

    @Test
    void changesOfAGroupAreSerializedAndSeparatedByTheDwellTime() {
        RolePlanner planner = newPlanner(0);
        planner.plan(GROUP, newEngines(4, 0));
        planner.plan(GROUP, newEngines(4, 0));
        assertEquals(1, changes.size());
        time.advanceMillis(60_000);
        planner.plan(GROUP, newEngines(4, 1));
        assertEquals(1, changes.size(), "an engine is still changing");
        planner.plan(GROUP, newEngines(4, 0));
        assertEquals(2, changes.size());
    }

    /** A change refused without the control log must neither block the planner nor start the dwell time. */
    @Test
    void refusedChangeDoesNotStartTheDwellTime() {
        controlLogUnavailable = true;
        RolePlanner planner = newPlanner(0);
        planner.plan(GROUP, newEngines(4, 0));
        controlLogUnavailable = false;
        planner.plan(GROUP, newEngines(4, 0));
        assertEquals(1, changes.size());
    }

    @Test
    void demandMeterAveragesOverTheHorizon() {
        DemandMeter meter = new DemandMeter(time);
        time.advanceMillis(100_000);
        meter.recordArrivals(GROUP, WorkClass.URGENT, 20, 2_000, 400, 40_000);
        time.advanceMillis(5_000);
        ClassDemand demand = meter.demand(GROUP, 10_000).get(0);
        assertEquals(new ClassDemand(WorkClass.URGENT, 2, 100, 20, 2_000), demand);
        time.advanceMillis(10_000);
        assertEquals(List.of(), meter.demand(GROUP, 10_000));
    }

    /** Fast role changes and a long horizon make small gains pay off, which the default settings would reject. */
    private RolePlanner newPlanner(double price) {
        EngineSpeed fastChange = new EngineSpeed(8, 12, 0.4, 48, 0.022, 500);
        return new RolePlanner(
                new RolePlannerSettings(price, 600_000, 10_000, 45_000, 8_000, 30_000, 0, fastChange),
                (_group, horizonMillis) -> horizonMillis > 20_000 ? longTermDemand : shortTermDemand,
                change -> !controlLogUnavailable && changes.add(change),
                time);
    }

    private static List<EngineSnapshot> newEngines(int mixed, int changing) {
        List<EngineSnapshot> engines = new ArrayList<>();
        for (int i = 0; i < mixed; i++) {
            engines.add(new EngineSnapshot("e" + i, EngineRole.MIXED, i >= changing, i));
        }
        return engines;
    }
}
