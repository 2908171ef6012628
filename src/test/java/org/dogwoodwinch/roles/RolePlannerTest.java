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
    private static final List<ClassDemand> ANSWERS_BESIDE_LONG_PROMPTS = List.of(
            new ClassDemand(WorkClass.URGENT, 3, 300, 500, 9_000),
            new ClassDemand(WorkClass.LONG_READ, 1.5, 9_000, 20, 600_000));
    private static final List<ClassDemand> ANSWERS_ALONE =
            List.of(new ClassDemand(WorkClass.URGENT, 8, 300, 500, 20_000));

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<RoleChange> changes = new ArrayList<>();
    private List<ClassDemand> recent = ANSWERS_BESIDE_LONG_PROMPTS;
    private List<ClassDemand> lasting = ANSWERS_BESIDE_LONG_PROMPTS;
    private boolean logOut;

    @Test
    void aChangeIsProposedWhereTheGainExceedsThePrice() {
        planner(0).plan(GROUP, engines(4, 0));
        assertEquals(1, changes.size());
        assertTrue(changes.get(0).gain() > 0);
    }

    @Test
    void thePriceAloneDecidesBetweenTheUsers() {
        planner(10_000).plan(GROUP, engines(4, 0));
        assertEquals(List.of(), changes);
    }

    @Test
    void aBurstThatLastingDemandDoesNotShowChangesNothing() {
        lasting = ANSWERS_ALONE;
        planner(0).plan(GROUP, engines(4, 0));
        assertEquals(List.of(), changes);
    }

    @Test
    void oneChangeAtATimeWithADwellBetween() {
        RolePlanner planner = planner(0);
        planner.plan(GROUP, engines(4, 0));
        planner.plan(GROUP, engines(4, 0));
        assertEquals(1, changes.size());
        time.advanceMillis(60_000);
        planner.plan(GROUP, engines(4, 1));
        assertEquals(1, changes.size(), "an engine is still changing");
        planner.plan(GROUP, engines(4, 0));
        assertEquals(2, changes.size());
    }

    /** The log is out, so no order can be given: the planner asks in vain, and must neither wait nor count a change. */
    @Test
    void withoutTheLogNothingChangesAndTheNextTryIsNotHeldBack() {
        logOut = true;
        RolePlanner planner = planner(0);
        planner.plan(GROUP, engines(4, 0));
        logOut = false;
        planner.plan(GROUP, engines(4, 0));
        assertEquals(1, changes.size());
    }

    @Test
    void theMeterAveragesOverItsHorizon() {
        DemandMeter meter = new DemandMeter(time);
        time.advanceMillis(100_000);
        meter.onArrivals(GROUP, WorkClass.URGENT, 20, 2_000, 400, 40_000);
        time.advanceMillis(5_000);
        ClassDemand demand = meter.demand(GROUP, 10_000).get(0);
        assertEquals(new ClassDemand(WorkClass.URGENT, 2, 100, 20, 2_000), demand);
        time.advanceMillis(10_000);
        assertEquals(List.of(), meter.demand(GROUP, 10_000));
    }

    /** Engines that change quickly, and a long horizon: with the standard ones these small gains would not pay. */
    private RolePlanner planner(double price) {
        EngineSpeed quick = new EngineSpeed(8, 12, 0.4, 48, 0.022, 500);
        return new RolePlanner(
                new RolePlanSettings(price, 600_000, 10_000, 45_000, 8_000, 30_000, 0, quick),
                (_group, horizonMillis) -> horizonMillis > 20_000 ? lasting : recent,
                change -> !logOut && changes.add(change),
                time);
    }

    private static List<EngineView> engines(int mixed, int changing) {
        List<EngineView> engines = new ArrayList<>();
        for (int i = 0; i < mixed; i++) {
            engines.add(new EngineView("e" + i, EngineRole.MIXED, i >= changing, i));
        }
        return engines;
    }
}
