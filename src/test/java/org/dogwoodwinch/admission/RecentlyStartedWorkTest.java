package org.dogwoodwinch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RecentlyStartedWorkTest {

    private final RecentlyStartedWork work = new RecentlyStartedWork(500);

    /** Six instances with equal queues: while nobody has told, the five others started what this one did. */
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
