package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class SuspectRegistryTest {

    private static final long CRASHING = 1;
    private static final long HARMLESS = 2;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final List<SuspicionNotice> notices = new ArrayList<>();
    private final SuspectRegistry suspects = new SuspectRegistry(time, 600_000, 3_600_000, notices::add);

    /** Two requests share a crash: the harmless one must not be refused, and the crashing one must not run again. */
    @Test
    void trialsClearTheHarmlessRequestAndQuarantineTheCrashingOne() {
        suspects.onCrash(CRASHING, "a", "engine-0");
        suspects.onCrash(HARMLESS, "b", "engine-0");
        assertEquals(Quarantine.Status.SUSPECT, suspects.statusOf(HARMLESS));
        suspects.onTrialStarted(CRASHING, "c", "engine-1");
        suspects.onTrialStarted(HARMLESS, "d", "engine-2");
        suspects.onAttemptEnded(HARMLESS, "d", true);
        suspects.onCrash(CRASHING, "c", "engine-1");
        assertEquals(Quarantine.Status.CLEAR, suspects.statusOf(HARMLESS));
        assertEquals(Quarantine.Status.QUARANTINED, suspects.statusOf(CRASHING));
        assertTrue(suspects.trialTargets().isEmpty());
    }

    /** Two instances start a trial on the same target: its crash does not show which suspect caused it. */
    @Test
    void crashDuringASharedTrialQuarantinesNeitherRequest() {
        suspects.onCrash(HARMLESS, "a", "engine-0");
        suspects.onTrialStarted(HARMLESS, "b", "engine-1");
        suspects.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.TRIAL, CRASHING, "engine-1", 60_000), 100);
        suspects.onCrash(HARMLESS, "b", "engine-1");
        assertEquals(Quarantine.Status.REPEATED_SUSPECT, suspects.statusOf(HARMLESS));
    }

    /** A peer's notice that was sent before an operator lifted the quarantine arrives after the lift. */
    @Test
    void olderPeerNoticeDoesNotUndoALift() {
        time.advanceMillis(10_000);
        suspects.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.QUARANTINED, CRASHING, "engine-1", 60_000), 0);
        assertEquals(1, suspects.listQuarantined().size());
        assertTrue(suspects.lift(CRASHING));
        suspects.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.QUARANTINED, CRASHING, "engine-1", 60_000), 500);
        assertEquals(Quarantine.Status.CLEAR, suspects.statusOf(CRASHING));
        time.advanceMillis(1_000);
        suspects.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.QUARANTINED, CRASHING, "engine-1", 60_000), 0);
        assertEquals(Quarantine.Status.QUARANTINED, suspects.statusOf(CRASHING));
    }

    @Test
    void suspicionExpiresAfterItsDuration() {
        suspects.onCrash(CRASHING, "a", "engine-0");
        time.advanceMillis(600_001);
        assertEquals(Quarantine.Status.CLEAR, suspects.statusOf(CRASHING));
    }

    /** Guards against a request that runs again because a second crash of the same call was found later. */
    @Test
    void quarantineSurvivesCrashFoundLater() {
        suspects.onCrash(CRASHING, "a", "engine-0");
        suspects.onTrialStarted(CRASHING, "b", "engine-1");
        suspects.onTrialStarted(CRASHING, "b", "engine-2");
        suspects.onCrash(CRASHING, "b", "engine-1");
        suspects.onCrash(CRASHING, "b", "engine-2");
        assertEquals(Quarantine.Status.QUARANTINED, suspects.statusOf(CRASHING));
        assertEquals(
                SuspicionNotice.Kind.QUARANTINED,
                notices.stream()
                        .filter(notice -> notice.target().equals("engine-2"))
                        .filter(notice -> notice.kind() != SuspicionNotice.Kind.TRIAL
                                && notice.kind() != SuspicionNotice.Kind.TRIAL_ENDED)
                        .findFirst()
                        .orElseThrow()
                        .kind());
    }

    /** Guards against a request that ends target after target while no crash proves that it is the cause. */
    @Test
    void requestUnderWhichThreeTargetsEndedIsQuarantinedWithoutProof() {
        suspects.onCrash(CRASHING, "a", "engine-0");
        suspects.onCrash(CRASHING, "b", "engine-1");
        assertEquals(Quarantine.Status.REPEATED_SUSPECT, suspects.statusOf(CRASHING));
        suspects.onCrash(CRASHING, "c", "engine-2");
        assertEquals(Quarantine.Status.QUARANTINED, suspects.statusOf(CRASHING));
    }

    /** Guards against a request that three instances send in turn, each of which sees one target end. */
    @Test
    void crashesSeenByDifferentInstancesAddUp() {
        suspects.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.SUSPECT, CRASHING, "engine-0", 600_000), 0);
        suspects.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.SUSPECT, CRASHING, "engine-1", 600_000), 0);
        suspects.onCrash(CRASHING, "c", "engine-2");
        assertEquals(Quarantine.Status.QUARANTINED, suspects.statusOf(CRASHING));
    }

    /** Guards against a harmless request that is refused because several instances saw the same crash. */
    @Test
    void crashSeenByThreeInstancesCountsOnce() {
        for (int i = 0; i < 2; i++) {
            suspects.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.SUSPECT, HARMLESS, "engine-0", 600_000), 0);
        }
        suspects.onCrash(HARMLESS, "a", "engine-0");
        assertEquals(Quarantine.Status.SUSPECT, suspects.statusOf(HARMLESS));
    }

    /** Guards against a harmless request that is refused for long since it ran on three targets that crashed. */
    @Test
    void harmlessRequestIsTriedAgainAfterAMinute() {
        for (int i = 0; i < 3; i++) {
            suspects.onCrash(HARMLESS, "a", "engine-" + i);
        }
        assertEquals(60_000, suspects.quarantineRemainingMillis(HARMLESS));
        time.advanceMillis(60_000);
        assertEquals(Quarantine.Status.REPEATED_SUSPECT, suspects.statusOf(HARMLESS));
        suspects.onTrialStarted(HARMLESS, "b", "engine-4");
        suspects.onAttemptEnded(HARMLESS, "b", true);
        assertEquals(Quarantine.Status.CLEAR, suspects.statusOf(HARMLESS));
    }

    /** Guards against a request that ends three more targets each time that its quarantine runs out. */
    @Test
    void firstCrashAfterCountedQuarantineEndsInQuarantineAgain() {
        for (int i = 0; i < 3; i++) {
            suspects.onCrash(CRASHING, "a", "engine-" + i);
        }
        time.advanceMillis(60_000);
        suspects.onCrash(CRASHING, "b", "engine-4");
        assertEquals(Quarantine.Status.QUARANTINED, suspects.statusOf(CRASHING));
    }
}
