package org.dogwoodwinch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StartedWorkTest {

    private final StartedWork work = new StartedWork(500);

    /** Without reports, each of the five other instances counts as having started the same work as this one. */
    @Test
    void eachOtherInstanceIsAssumedToHaveStartedTheSameWork() {
        work.recordStart(40, 1_000);
        work.recordStart(20, 1_100);

        assertEquals(300, work.unreportedPeerWorkMillis(6, 1_200));
    }

    @Test
    void workOlderThanTheReportIntervalIsNotCounted() {
        work.recordStart(40, 1_000);
        work.recordStart(20, 1_100);

        assertEquals(100, work.unreportedPeerWorkMillis(6, 1_500));
        assertEquals(0, work.unreportedPeerWorkMillis(6, 1_600));
    }

    @Test
    void singleInstanceHasNoUnreportedPeerWork() {
        work.recordStart(40, 1_000);

        assertEquals(0, work.unreportedPeerWorkMillis(1, 1_000));
        assertEquals(0, work.unreportedPeerWorkMillis(0, 1_000));
    }
}
