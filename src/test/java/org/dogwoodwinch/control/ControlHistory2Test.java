package org.dogwoodwinch.control;

import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;

/** Runs one third of the generated schedules. Three classes allow three test processes to run in parallel. */
class ControlHistory2Test {

    private static final int SCHEDULES = 700;

    @Property(seed = "402", tries = SCHEDULES)
    void invariantsHold(@ForAll("schedules") List<SimulationEvent> schedule) {
        ControlHistoryCheck.checkInvariants(ControlHistoryCheck.runSchedule(schedule, ControlSimulation.POLICIES));
    }

    @AfterContainer
    static void schedulesExercisedOrdersAndTakeovers() {
        ControlHistoryCheck.checkCoverage(SCHEDULES);
    }

    @Provide
    Arbitrary<List<SimulationEvent>> schedules() {
        return ControlHistoryCheck.schedules();
    }
}
