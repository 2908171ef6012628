package org.dogwoodwinch.control;

import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;

/** A third of the generated schedules; three classes, so that three test processes share them. */
class ControlHistory1Test {

    private static final int SCHEDULES = 700;

    @Property(seed = "401", tries = SCHEDULES)
    void whatMustAlwaysHoldHolds(@ForAll("schedules") List<Disturbance> schedule) {
        ControlHistoryCheck.check(ControlHistoryCheck.run(schedule, ControlWorld.POLICIES));
    }

    @AfterContainer
    static void schedulesReachedWhatTheyCheck() {
        ControlHistoryCheck.checkThatSchedulesReachedIt(SCHEDULES);
    }

    @Provide
    Arbitrary<List<Disturbance>> schedules() {
        return ControlHistoryCheck.schedules();
    }
}
