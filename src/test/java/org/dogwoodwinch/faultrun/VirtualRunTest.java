package org.dogwoodwinch.faultrun;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.dogwoodwinch.fault.FaultKind;
import org.dogwoodwinch.fault.FaultSchedule;
import org.dogwoodwinch.fault.FaultScheduleGenerator;
import org.dogwoodwinch.history.HistoryChecks;
import org.dogwoodwinch.history.HistoryVerdict;

/**
 * Callers send urgent, ordinary, long and billed requests while operators edit the catalogue and change engines' roles.
 * Instances are killed and stopped, engines crash, the log goes out, is slow and loses answers, and operators race, two
 * faults at a time. What the callers were told agrees with what the engines ran, and no order cuts an urgent request:
 * control and requests are judged together on one history.
 */
class VirtualRunTest {

    private static final List<FaultKind> KINDS = List.of(
            FaultKind.KILL,
            FaultKind.PLANNED_STOP,
            FaultKind.LOG_OUTAGE,
            FaultKind.LOG_SLOW,
            FaultKind.LOG_ANSWER_LOST,
            FaultKind.RACING_OPERATORS,
            FaultKind.ENGINE_CRASH);
    private static final Map<org.dogwoodwinch.history.Property, Long> AT_STAKE =
            new EnumMap<>(org.dogwoodwinch.history.Property.class);

    @Property(seed = "701", tries = 3, generation = GenerationMode.RANDOMIZED, shrinking = ShrinkingMode.OFF)
    void theNinePropertiesHoldUnderEachPairOfFaults(@ForAll long seed) {
        FaultScheduleGenerator generator = new FaultScheduleGenerator(VirtualRun.SUBJECTS, 5_000, 4_000);
        generator.pairs(seed, KINDS).forEach(VirtualRunTest::judge);
    }

    @AfterContainer
    static void eachPropertyButTheLeavingTargetWasAtStake() {
        AT_STAKE.forEach((property, count) -> assertTrue(
                count > 0 || property == org.dogwoodwinch.history.Property.LEAVING_TARGET_GETS_NO_WORK,
                () -> property + " was never at stake"));
    }

    private static void judge(FaultSchedule schedule) {
        VirtualRun run = new VirtualRun(schedule.seed());
        run.play(schedule);
        HistoryVerdict verdict = HistoryChecks.standard().judge(run.history.history());
        assertTrue(verdict.held(), () -> schedule + "\n" + verdict.toText());
        verdict.results().forEach(result -> AT_STAKE.merge(result.property(), result.checked(), Long::sum));
    }
}
