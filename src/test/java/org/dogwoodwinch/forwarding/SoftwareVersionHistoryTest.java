package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.forwarding.SoftwareVersionHistory.SingleVersion;
import org.junit.jupiter.api.Test;

class SoftwareVersionHistoryTest {

    private static final long LIFETIME_MILLIS = 8_000;

    private static final long MAX_UPDATE_GAP_MILLIS = 3_000;

    private final SoftwareVersionHistory history =
            new SoftwareVersionHistory(() -> LIFETIME_MILLIS, MAX_UPDATE_GAP_MILLIS, 0);

    /** Updates the versions each second, both times included. */
    private void observe(Set<String> versions, long fromMillis, long toMillis) {
        for (long millis = fromMillis; millis <= toMillis; millis += 1_000) {
            history.update("s", versions, millis);
        }
    }

    @Test
    void onlyVersionNeedsNoRecords() {
        observe(Set.of("v1"), 0, 9_000);

        assertFalse(history.maybeSeveral("s", 9_001));
        assertEquals(Optional.of("v1"), history.onlyVersion("s", 9_001));
        assertEquals(Optional.empty(), history.onlyVersion("unknown", 9_001));
    }

    /** Failure: a process that has just started takes the version that is listed now for the only one that ever was. */
    @Test
    void versionIsNotTheOnlyOneBeforeItWasObservedForTheLifetimeOfStream() {
        observe(Set.of("v1"), 0, 8_000);

        assertTrue(history.maybeSeveral("s", LIFETIME_MILLIS));
        assertEquals(Optional.empty(), history.onlyVersion("s", LIFETIME_MILLIS));
        assertEquals(Optional.of("v1"), history.onlyVersion("s", LIFETIME_MILLIS + 1));
    }

    /** Failure: each restart of a rolling one costs the streams that are taken up, as nobody has observed for long. */
    @Test
    void observationOfAnotherInstanceIsContinued() {
        observe(Set.of("v1"), 0, 1_000);
        assertTrue(history.lacksPast("s", 1_000));
        history.considerStatement("s", new SingleVersion("v1", 20_000), 1_000);

        assertEquals(Optional.of("v1"), history.onlyVersion("s", 1_000));
        assertEquals(Optional.of(new SingleVersion("v1", 20_500)), history.singleVersion("s", 1_500));
        assertFalse(history.lacksPast("s", 1_500));
    }

    /** Failure: another instance has not seen the release yet, and its word passes for that of the whole fleet. */
    @Test
    void observationOfOtherVersionsIsNotContinued() {
        observe(Set.of("v2"), 0, 1_000);
        history.considerStatement("s", new SingleVersion("v1", 20_000), 1_000);
        assertEquals(Optional.empty(), history.onlyVersion("s", 1_000));

        observe(Set.of("v1", "v2"), 2_000, 3_000);
        history.considerStatement("s", new SingleVersion("v1", 20_000), 3_000);
        assertEquals(Optional.empty(), history.onlyVersion("s", 3_000));
    }

    /** Failure: an instance vouches for the time before a change that it has seen itself. */
    @Test
    void versionIsSingleOnlySinceTheLastChange() {
        observe(Set.of("v1"), 0, 20_000);
        observe(Set.of("v2"), 21_000, 23_000);

        assertEquals(Optional.of(new SingleVersion("v2", 2_000)), history.singleVersion("s", 23_000));
        assertFalse(history.lacksPast("s", 23_000));
    }

    /** Failure: a release and its rollback pass while the process is suspended, and go unnoticed. */
    @Test
    void observationBeginsAnewAfterSuspension() {
        observe(Set.of("v1"), 0, 20_000);
        observe(Set.of("v1"), 23_001, 24_001);

        assertTrue(history.maybeSeveral("s", 24_001));
        assertEquals(Optional.empty(), history.onlyVersion("s", 24_001));
    }

    /** Failure: entries were no longer retained when they were to be read, and what they said goes unnoticed. */
    @Test
    void observationBeginsAnewAfterUnreadEntries() {
        observe(Set.of("v1"), 0, 20_000);
        history.beginAnew(20_000);

        assertEquals(Optional.empty(), history.onlyVersion("s", 20_000 + LIFETIME_MILLIS));
        assertEquals(Optional.of("v1"), history.onlyVersion("s", 20_001 + LIFETIME_MILLIS));
    }

    /** Failure: a release has begun, and the version before it passes for that of every stream. */
    @Test
    void severalVersionsLeaveNoOnlyOne() {
        observe(Set.of("v1"), 0, 19_000);
        observe(Set.of("v1", "v2"), 20_000, 20_000);

        assertTrue(history.maybeSeveral("s", 20_000));
        assertTrue(history.maybeSeveral("s", 90_000));
        assertEquals(Optional.empty(), history.onlyVersion("s", 20_000));
    }

    /** Failure: the last target of a version is gone, and its streams go on at the version that is left. */
    @Test
    void versionThatIsLeftIsNotTheOnlyOneUntilStreamsOfTheOtherHaveEnded() {
        observe(Set.of("v1", "v2"), -20_000, 4_000);
        observe(Set.of("v2"), 5_000, 5_000 + LIFETIME_MILLIS);

        assertTrue(history.maybeSeveral("s", 5_000 + LIFETIME_MILLIS));
        assertEquals(Optional.empty(), history.onlyVersion("s", 5_000 + LIFETIME_MILLIS));
        assertEquals(Optional.of("v2"), history.onlyVersion("s", 5_001 + LIFETIME_MILLIS));
    }

    /** Failure: all targets are replaced between two looks, and the old version's streams go on at the new one. */
    @Test
    void versionThatReplacesAnotherAtOnceIsNotTheOnlyOneEither() {
        observe(Set.of("v1"), -20_000, 4_000);
        observe(Set.of("v2"), 5_000, 5_000);

        assertEquals(Optional.empty(), history.onlyVersion("s", 5_000));
        assertTrue(history.maybeSeveral("s", 5_000 + LIFETIME_MILLIS));
    }

    /** Failure: a route moves here from another service, whose streams go on at the only version of this one. */
    @Test
    void versionIsNotTheOnlyOneUntilStreamsOfTheRouteBeforeTheMoveHaveEnded() {
        observe(Set.of("v1"), -20_000, 5_000);
        history.recordMove("s", 5_000);
        history.considerStatement("s", new SingleVersion("v1", 90_000), 5_000);
        observe(Set.of("v1"), 6_000, 5_000 + LIFETIME_MILLIS);

        assertTrue(history.maybeSeveral("s", 5_000 + LIFETIME_MILLIS));
        assertEquals(Optional.of(new SingleVersion("v1", 1_000)), history.singleVersion("s", 6_000));
        assertEquals(Optional.empty(), history.onlyVersion("s", 5_000 + LIFETIME_MILLIS));
        assertEquals(Optional.of("v1"), history.onlyVersion("s", 5_001 + LIFETIME_MILLIS));
    }

    /** Failure: a route moves to a service before its targets are seen, and another instance vouches for their past. */
    @Test
    void moveToServiceThatIsNotKnownYetCountsToo() {
        history.recordMove("s", 0);
        assertEquals(Set.of(), history.currentVersions("s"));
        observe(Set.of("v1"), 1_000, 2_000);
        history.considerStatement("s", new SingleVersion("v1", 90_000), 2_000);

        assertTrue(history.maybeSeveral("s", 2_000));
        assertEquals(Optional.empty(), history.onlyVersion("s", 2_000));
    }

    @Test
    void moveIsThatOfOneService() {
        observe(Set.of("v1"), 0, 9_000);
        history.recordMove("other", 9_000);

        assertEquals(Optional.of("v1"), history.onlyVersion("s", 9_001));
    }

    @Test
    void listWithoutTargetsKeepsTheVersionsKnown() {
        observe(Set.of("v1"), 0, 19_000);
        observe(Set.of(), 20_000, 25_000);

        assertEquals(Optional.of("v1"), history.onlyVersion("s", 25_000));
    }

    /** Failure: an instance that is cut off begins streams at targets that have left, and they go on at the version left. */
    @Test
    void versionThatIsLeftIsNotTheOnlyOneWhileRemovedTargetsMayServe() {
        SoftwareVersionHistory serving =
                new SoftwareVersionHistory(() -> LIFETIME_MILLIS, MAX_UPDATE_GAP_MILLIS, 30_000);
        for (long millis = -50_000; millis < 0; millis += 1_000) {
            serving.update("s", Set.of("v1"), millis);
        }
        for (long millis = 0; millis <= 39_000; millis += 1_000) {
            serving.update("s", Set.of("v2"), millis);
        }

        assertEquals(Optional.empty(), serving.onlyVersion("s", 30_000 + LIFETIME_MILLIS));
        assertEquals(Optional.of("v2"), serving.onlyVersion("s", 30_001 + LIFETIME_MILLIS));
        assertEquals(Optional.of(new SingleVersion("v2", -10_000)), serving.singleVersion("s", 20_000));
    }

    /** Failure: an instance that starts after a release vouches sooner than those that have seen the release. */
    @Test
    void instanceThatStartsAfterReleaseWaitsUntilRemovedTargetsHaveEnded() {
        observe(Set.of("v2"), 0, 20_000);
        history.considerStatement("s", new SingleVersion("v2", -10_000), 20_000);
        observe(Set.of("v2"), 21_000, 39_000);

        assertEquals(Optional.empty(), history.onlyVersion("s", 30_000 + LIFETIME_MILLIS));
        assertEquals(Optional.of("v2"), history.onlyVersion("s", 30_001 + LIFETIME_MILLIS));
    }

    /** Failure: another instance sees a version that this one does not, and its word is disregarded. */
    @Test
    void versionThatAnotherInstanceSeesCountsAsChange() {
        observe(Set.of("v1"), 0, 20_000);
        history.considerStatement("s", new SingleVersion("v2", 0), 20_000);
        observe(Set.of("v1"), 21_000, 29_000);

        assertEquals(Optional.empty(), history.onlyVersion("s", 20_000 + LIFETIME_MILLIS));
        assertEquals(Optional.of("v1"), history.onlyVersion("s", 20_001 + LIFETIME_MILLIS));
    }
}
