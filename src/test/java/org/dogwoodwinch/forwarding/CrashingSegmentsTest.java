package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dogwoodwinch.forwarding.CrashCorrelator.LostCall;
import org.dogwoodwinch.forwarding.CrashReport.BlamedSegment;
import org.dogwoodwinch.forwarding.CrashingSegments.BegunSegment;
import org.junit.jupiter.api.Test;

class CrashingSegmentsTest {

    private static final SegmentId SHARED = new SegmentId("m", "shared");
    private static final SegmentId BAD = new SegmentId("m", "bad");

    private long nowMillis = 1_000_000;
    private final CrashingSegments segments = new CrashingSegments(() -> nowMillis);
    private int crashesCount;

    private LostCall lostCall(boolean answerBegun, SegmentId... callSegments) {
        return new LostCall(1, "r", "t" + crashesCount, nowMillis, List.of(callSegments), answerBegun);
    }

    private Optional<CrashReport> crash(LostCall... lostCalls) {
        Optional<CrashReport> report = segments.recordCrash("t" + crashesCount++, List.of(lostCalls));
        nowMillis += 100;
        return report;
    }

    private void crashUnderBad(int times) {
        for (int i = 0; i < times; i++) {
            crash(lostCall(false, SHARED, BAD));
        }
    }

    private SegmentStanding standing(SegmentId... callSegments) {
        return segments.standingOf(List.of(callSegments));
    }

    private void assertClear(SegmentId... callSegments) {
        assertInstanceOf(SegmentStanding.Clear.class, standing(callSegments));
    }

    private SegmentStanding.HeldBack assertHeld(SegmentId... callSegments) {
        return assertInstanceOf(SegmentStanding.HeldBack.class, standing(callSegments));
    }

    @Test
    void segmentIsHeldBackAfterThreeCrashesWithoutABegin() {
        crashUnderBad(2);
        assertClear(SHARED, BAD);
        assertTrue(segments.isSuspected(List.of(BAD)));

        crashUnderBad(1);

        assertEquals(3, assertHeld(SHARED, BAD).crashesCount());
    }

    /** Guards against one crash that several instances see and that is counted for each of them. */
    @Test
    void crashThatSeveralInstancesReportCountsOnce() {
        CrashReport report = crash(lostCall(false, BAD)).orElseThrow();
        for (int i = 0; i < 5; i++) {
            segments.recordPeerCrash(report, nowMillis);
        }
        assertClear(BAD);
    }

    /** Guards against sound calls whose answers were under way and whose segments look guilty. */
    @Test
    void segmentOfACallWhoseAnswerHadBegunIsNotBlamed() {
        for (int i = 0; i < 5; i++) {
            assertTrue(crash(lostCall(true, SHARED)).isEmpty());
        }
        assertClear(SHARED);
    }

    @Test
    void segmentOfSoundCallsStaysFreeWhileAnswersWithItBegin() {
        for (int i = 0; i < 20; i++) {
            crashUnderBad(1);
            segments.recordBegin(List.of(SHARED));
        }
        assertClear(SHARED);
        assertHeld(SHARED, BAD);
    }

    /** Guards against a rare sound segment that is held back together with the one that crashes targets. */
    @Test
    void segmentThatAnswersBeganWithBeforeIsNotHeldBackWithTheCause() {
        segments.recordBegin(List.of(SHARED));
        nowMillis += 60_000;
        crashUnderBad(4);

        assertClear(SHARED);
        assertHeld(BAD);
    }

    /** Guards against a segment that answers began with, and that crashes targets from some moment on. */
    @Test
    void segmentThatAnswersBeganWithBeforeIsHeldBackAfterSixCrashes() {
        segments.recordBegin(List.of(BAD));
        for (int i = 0; i < 6; i++) {
            nowMillis += 1;
            assertClear(BAD);
            crash(lostCall(false, BAD));
        }
        assertHeld(BAD);
    }

    @Test
    void beginThatIsToldLateDoesNotClearCrashesAfterIt() {
        for (int i = 0; i < 6; i++) {
            crash(lostCall(false, BAD));
        }

        segments.recordPeerBegin(BAD, nowMillis - 10_000);

        assertHeld(BAD);
    }

    @Test
    void crashThatIsToldLateDoesNotUndoABeginAfterIt() {
        segments.recordPeerBegin(SHARED, nowMillis);
        for (int i = 0; i < 8; i++) {
            segments.recordPeerCrash(
                    new CrashReport("old" + i, List.of(new BlamedSegment(SHARED, false))), nowMillis - 1);
        }
        assertClear(SHARED);
    }

    @Test
    void trialsFollowAfterGrowingPausesAndAreFew() {
        crashUnderBad(3);
        long[] pausesMillis = {5_000, 60_000, 600_000};
        for (int i = 0; i < pausesMillis.length; i++) {
            long remainingMillis = assertHeld(BAD).remainingMillis();
            assertTrue(remainingMillis <= pausesMillis[i] && remainingMillis > pausesMillis[i] - 200, "trial " + i);
            nowMillis += remainingMillis;
            assertEquals(new SegmentStanding.TrialDue(BAD, 3 + i, i + 1), standing(BAD));
            segments.recordTrial(BAD, i + 1, nowMillis);
            crash(lostCall(false, BAD));
        }
        nowMillis += 80_000_000;
        assertHeld(BAD);
        nowMillis += 10_000_000;
        assertClear(BAD);
    }

    /** Guards against a trial that blames the other segments of its call, and the calls beside it. */
    @Test
    void crashDuringATrialIsBlamedOnTheSegmentThatIsTried() {
        segments.recordBegin(List.of(SHARED));
        nowMillis += 1;
        crashUnderBad(3);
        for (int i = 0; i < 9; i++) {
            crash(lostCall(false, SHARED, BAD), lostCall(false, SHARED));
        }
        assertClear(SHARED);
    }

    /** Guards against a sound segment that is tried by a call with the bad one, and held back longer for its crash. */
    @Test
    void callWithSeveralHeldSegmentsIsTriedLater() {
        crashUnderBad(3);
        nowMillis += 6_000;

        assertInstanceOf(SegmentStanding.TrialDue.class, standing(SHARED));
        assertInstanceOf(SegmentStanding.HeldBack.class, standing(SHARED, BAD));

        nowMillis += 30_000;
        assertInstanceOf(SegmentStanding.TrialDue.class, standing(SHARED, BAD));
    }

    @Test
    void beginReleasesAHeldSegmentAndIsUrgentNews() {
        crashUnderBad(3);

        List<BegunSegment> begun = segments.recordBegin(List.of(SHARED));

        assertEquals(List.of(new BegunSegment(SHARED, true, true)), begun);
        assertClear(SHARED);
        assertHeld(BAD);
    }

    @Test
    void peerBeginReleasesAHeldSegment() {
        crashUnderBad(3);

        assertTrue(segments.recordPeerBegin(SHARED, nowMillis));
        assertClear(SHARED);
    }

    @Test
    void beginIsNotToldWhileNobodyMayHoldTheSegmentBack() {
        assertTrue(segments.recordBegin(List.of(SHARED)).isEmpty());
        nowMillis += 1;
        crashUnderBad(1);

        assertTrue(segments.recordBegin(List.of(SHARED)).isEmpty());
    }

    @Test
    void liftForgetsCrashesAndReportsOfThemThatArriveLater() {
        crashUnderBad(3);
        assertTrue(segments.lift(BAD, nowMillis));

        for (int i = 0; i < 5; i++) {
            segments.recordPeerCrash(
                    new CrashReport("late" + i, List.of(new BlamedSegment(BAD, false))), nowMillis - 50);
        }

        assertClear(BAD);
        assertFalse(segments.lift(BAD, nowMillis));
    }

    /** Guards against a lift that is undone by crashes from before it which are found out later here. */
    @Test
    void ownCrashFromBeforeALiftDoesNotCount() {
        List<LostCall> lostCalls = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            lostCalls.add(lostCall(false, BAD));
        }
        segments.lift(BAD, nowMillis);
        nowMillis += 200;
        for (LostCall call : lostCalls) {
            crash(call);
        }
        assertClear(BAD);
    }

    /** Guards against a lift that is undone by an instance that has not heard of it, and has seen one crash more. */
    @Test
    void segmentThatIsToldToBeHeldRightAfterItsLiftStaysFree() {
        crashUnderBad(3);
        segments.lift(BAD, nowMillis);
        nowMillis += 300;
        segments.restore(new HeldSegment(BAD, 4, 0, 100, 0));

        assertClear(BAD);
    }

    @Test
    void restoredSegmentIsHeldBackWithItsTrials() {
        segments.restore(new HeldSegment(BAD, 4, 1, 10_000, 0));

        assertEquals(60_000, assertHeld(BAD).remainingMillis());
        assertEquals(List.of(new HeldSegment(BAD, 4, 1, 10_000, 60_000)), segments.listHeld());
    }

    @Test
    void restoredSegmentIsFreeIfAnAnswerBeganSince() {
        segments.recordBegin(List.of(BAD));
        segments.restore(new HeldSegment(BAD, 4, 1, 10_000, 0));

        assertClear(BAD);
    }

    @Test
    void crashesAreForgotten() {
        crashUnderBad(2);
        nowMillis += 600_000;
        crash(lostCall(false, new SegmentId("m", "other")));
        crashUnderBad(2);

        assertClear(BAD);
    }

    /** Guards against a flood of new segments that evicts the one that is held back. */
    @Test
    void heldSegmentOutlastsAFloodOfBlamedOnes() {
        crashUnderBad(3);
        for (int i = 0; i < 9_000; i++) {
            crash(lostCall(false, new SegmentId("m", "flood" + i)));
        }
        assertEquals(Set.of(SHARED, BAD), segments.heldAmong(List.of(SHARED, BAD)));
    }

    @Test
    void equalIdOfAnotherModelIsAnotherSegment() {
        crashUnderBad(3);
        assertClear(new SegmentId("other", "bad"));
    }

    /** Crashes and begins that instances tell in any order, and more than once, give the same standing. */
    @Property(tries = 300, seed = "57")
    void standingDoesNotDependOnTheOrderOfReports(@ForAll long seed) {
        Random random = new Random(seed);
        List<Consumer<CrashingSegments>> reports = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            SegmentId segment = random.nextBoolean() ? SHARED : BAD;
            long atMillis = nowMillis - random.nextInt(10_000);
            CrashReport report = new CrashReport(
                    "t" + random.nextInt(8), List.of(new BlamedSegment(segment, random.nextInt(8) == 0)));
            reports.add(
                    random.nextInt(6) == 0
                            ? each -> each.recordPeerBegin(segment, atMillis)
                            : each -> each.recordPeerCrash(report, atMillis));
        }
        List<Consumer<CrashingSegments>> others = new ArrayList<>(reports);
        others.addAll(reports.subList(0, random.nextInt(reports.size())));
        Collections.shuffle(others, random);
        CrashingSegments first = new CrashingSegments(() -> nowMillis);
        CrashingSegments second = new CrashingSegments(() -> nowMillis);
        reports.forEach(report -> report.accept(first));
        others.forEach(report -> report.accept(second));

        for (SegmentId segment : List.of(SHARED, BAD)) {
            assertEquals(first.standingOf(List.of(segment)), second.standingOf(List.of(segment)), "seed " + seed);
        }
    }
}
