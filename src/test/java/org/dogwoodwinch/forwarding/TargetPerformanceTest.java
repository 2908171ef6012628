package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class TargetPerformanceTest {

    private static final long ROUND_MILLIS = 250;

    private final TargetPerformance performance = new TargetPerformance(_service -> 6);
    private long nowMillis;

    private static Incarnation target(int index, long startedMillis) {
        return new Incarnation("t" + index, "s", "10.0.0.1", 80, "dc", 6, false, Stage.WHOLE, 0, startedMillis);
    }

    /** Observes calls at six targets, of which the first needs a multiple of the time of the others. */
    private void observe(int rounds, Incarnation first, double firstRatio) {
        for (int round = 0; round < rounds; round++) {
            for (int i = 1; i < 6; i++) {
                performance.recordTime(target(i, 1), WorkKind.PLAIN, 40, nowMillis);
            }
            performance.recordTime(first, WorkKind.PLAIN, 40 * firstRatio, nowMillis);
            nowMillis += ROUND_MILLIS;
        }
    }

    @Test
    void lastingSlownessIsMeasured() {
        observe(40, target(0, 1), 4);

        assertEquals(4, performance.standing(target(0, 1), nowMillis).timeRatio(), 0.8);
        assertEquals(TargetStanding.EQUAL, performance.standing(target(1, 1), nowMillis));
    }

    /** Deployments of equal targets are served as if nothing was observed. */
    @Test
    void targetNearTheMeanChangesNothing() {
        observe(40, target(0, 1), 1.3);

        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 1), nowMillis));
    }

    @Test
    void slownessOfHalfASecondChangesNothing() {
        observe(10, target(0, 1), 1);
        observe(3, target(0, 1), 2.5);

        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 1), nowMillis));
    }

    @Test
    void recoveryIsSeenWithinSeconds() {
        observe(20, target(0, 1), 4);
        observe(40, target(0, 1), 1);

        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 1), nowMillis));
    }

    /** Failure: a target that restarts fast is avoided because of its earlier incarnation, or the reverse. */
    @Test
    void incarnationBeginsWithoutHistory() {
        observe(40, target(0, 1), 4);

        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 2), nowMillis));
        observe(20, target(0, 2), 1);
        performance.recordTime(target(0, 1), WorkKind.PLAIN, 160, nowMillis);

        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 2), nowMillis));
        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 1), nowMillis));
    }

    /** Failure: a report about an ended incarnation arrives late and makes the new one look slow. */
    @Test
    void reportOfAnotherIncarnationIsIgnored() {
        PerformanceReport report = new PerformanceReport("t0", 1, 30, 20, 0, 3_000, 0);
        performance.addReport(target(0, 2), report, nowMillis);
        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 2), nowMillis));

        performance.addReport(target(0, 1), report, nowMillis);
        assertTrue(performance.standing(target(0, 1), nowMillis).isSlow());
    }

    @Test
    void oldReportHasLittleWeight() {
        performance.addReport(target(0, 1), new PerformanceReport("t0", 1, 30, 20, 0, 3_000, 20_000), nowMillis);

        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 1), nowMillis));
    }

    @Test
    void stateEndsWithTheIncarnation() {
        observe(40, target(0, 1), 4);

        performance.retain(List.of(target(0, 2), target(1, 1)), nowMillis);

        assertEquals(0, performance.weight("t0", nowMillis));
        assertEquals(0, performance.weight("t2", nowMillis));
        assertTrue(performance.weight("t1", nowMillis) > 0);
    }

    /** Failure: a target that fails calls at once looks idle; single failures are those of calls. */
    @Test
    void failuresStandOutFromTheSecondOne() {
        performance.recordFailure(target(0, 1), true, nowMillis);
        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 1), nowMillis));

        performance.recordFailure(target(0, 1), true, nowMillis);
        assertTrue(performance.standing(target(0, 1), nowMillis).failureShare() > 0.3);
    }

    /** Failure: an instance whose own link fails takes all targets for broken, and tells the others. */
    @Test
    void failuresOfAllTargetsChangeNothing() {
        for (int i = 0; i < 18; i++) {
            performance.recordFailure(target(i % 6, 1), false, nowMillis);
        }

        assertEquals(TargetStanding.EQUAL, performance.standing(target(0, 1), nowMillis));
        assertEquals(List.of(), performance.takeReports(10, nowMillis));
    }

    /** Load: as many observations as there are calls; only those that stand out are sent, and only once. */
    @Test
    void onlyWhatStandsOutIsReportedOnce() {
        observe(20, target(0, 1), 4);
        performance.recordFailure(target(3, 1), true, nowMillis);

        List<String> reported = performance.takeReports(10, nowMillis).stream()
                .map(PerformanceReport::targetId)
                .sorted()
                .toList();

        assertEquals(List.of("t0", "t3"), reported);
        assertEquals(List.of(), performance.takeReports(10, nowMillis));
    }

    /** Failure: only bad observations are sent, and an equal target looks slow to all instances. */
    @Test
    void goodObservationsOfReportedTargetsAreReported() {
        observe(4, target(0, 1), 1);
        performance.addReport(target(0, 1), new PerformanceReport("t0", 1, 1, 1, 0, 0, 0), nowMillis);

        PerformanceReport report = performance.takeReports(10, nowMillis).get(0);

        assertEquals("t0", report.targetId());
        assertTrue(Math.abs(report.logRatioSum()) < 0.01 * report.timesWeight());
    }
}
