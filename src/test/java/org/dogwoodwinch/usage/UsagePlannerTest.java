package org.dogwoodwinch.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class UsagePlannerTest {

    private static final long ANY_WINDOW = Long.MIN_VALUE;

    private static final long WINDOW_MILLIS = 5_000;
    private static final long END_OF_WINDOW_7 = 8 * WINDOW_MILLIS;
    private static final ReportedUsage DECIDED_6 = ReportedUsage.NONE.with(new UsageReport(6, Map.of("a", 1L)));

    private final UsagePlanner planner = new UsagePlanner(WINDOW_MILLIS, 2_500, 10_000);

    private static InstanceUsage usage(long closedThrough, Map<String, Long> countsIn7) {
        return new InstanceUsage(closedThrough, Map.of(7L, countsIn7));
    }

    @Test
    void completeWindowIsReportedOnceCountsHaveSettled() {
        List<InstanceUsage> instances = List.of(usage(7, Map.of("a", 2L, "b", 1L)), usage(7, Map.of("a", 3L)));

        assertEquals(Optional.empty(), planner.nextReport(DECIDED_6, instances, ANY_WINDOW, END_OF_WINDOW_7 + 2_499));
        assertEquals(
                Optional.of(new UsageReport(7, Map.of("a", 5L, "b", 1L))),
                planner.nextReport(DECIDED_6, instances, ANY_WINDOW, END_OF_WINDOW_7 + 2_500));
    }

    @Test
    void missingInstanceIsAwaitedUntilReportIsNearlyDue() {
        List<InstanceUsage> instances = List.of(usage(7, Map.of("a", 2L)), new InstanceUsage(6, Map.of()));

        assertEquals(Optional.empty(), planner.nextReport(DECIDED_6, instances, ANY_WINDOW, END_OF_WINDOW_7 + 6_999));
        assertEquals(
                Optional.of(new UsageReport(7, Map.of("a", 2L))),
                planner.nextReport(DECIDED_6, instances, ANY_WINDOW, END_OF_WINDOW_7 + 7_000));
    }

    @Test
    void instanceThatWasSilentBeforeIsNotAwaited() {
        List<InstanceUsage> instances = List.of(usage(7, Map.of("a", 2L)), new InstanceUsage(4, Map.of()));

        assertEquals(
                Optional.of(new UsageReport(7, Map.of("a", 2L))),
                planner.nextReport(DECIDED_6, instances, ANY_WINDOW, END_OF_WINDOW_7 + 2_500));
    }

    @Test
    void firstWindowIsTheOldestThatAnyInstanceCounted() {
        List<InstanceUsage> instances = List.of(usage(8, Map.of("a", 2L)));

        assertEquals(
                Optional.of(new UsageReport(7, Map.of("a", 2L))),
                planner.nextReport(ReportedUsage.NONE, instances, ANY_WINDOW, END_OF_WINDOW_7 + 4_000));
        assertEquals(
                Optional.empty(),
                planner.nextReport(ReportedUsage.NONE, List.of(), ANY_WINDOW, END_OF_WINDOW_7 + 4_000));
    }

    @Test
    void windowWithoutCallsIsReportedEmpty() {
        assertEquals(
                Optional.of(new UsageReport(7, Map.of())),
                planner.nextReport(DECIDED_6, List.of(), ANY_WINDOW, END_OF_WINDOW_7 + 2_500));
    }

    @Test
    void reportsAndCountsSurviveEncoding() throws Exception {
        InstanceUsage usage = usage(7, Map.of("a", 2L, "b", 1L));
        ReportedUsage reported = DECIDED_6.with(new UsageReport(7, Map.of()));

        assertEquals(usage, InstanceUsage.decode(usage.encode()));
        assertEquals(reported, ReportedUsage.decode(reported.encode()));
        assertEquals(Optional.of(7L), reported.decidedThrough());
    }

    @Test
    void counterClosesWindowsAndDropsOldOnes() {
        UsageCounter counter = new UsageCounter(WINDOW_MILLIS);
        for (long window = -3; window <= 8; window++) {
            counter.recordStart("a", window * WINDOW_MILLIS);
        }
        counter.recordStart("a", END_OF_WINDOW_7 - 1);

        InstanceUsage closed = counter.closedWindows(END_OF_WINDOW_7);

        assertEquals(7, closed.closedThrough());
        assertEquals(Map.of("a", 2L), closed.countsIn(7));
        assertEquals(Map.of("a", 1L), closed.countsIn(1));
        assertEquals(Map.of(), closed.countsIn(0));
        assertEquals(Map.of(), closed.countsIn(8));
    }

    /** Failure: reports of windows that were over before a copy of the store are lost, and are decided again. */
    @Test
    void noWindowBeforeFirstOneIsReported() {
        List<InstanceUsage> instances = List.of(usage(7, Map.of("a", 2L)));

        assertEquals(Optional.empty(), planner.nextReport(DECIDED_6, instances, 8, END_OF_WINDOW_7 + 7_000));
    }
}
