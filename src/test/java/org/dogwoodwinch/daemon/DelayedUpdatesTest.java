package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Delays the updates that the reader of a data centre sends; all of them arrive, in order. */
class DelayedUpdatesTest {

    /** Nine tenths of the shortest time within which all instances must stop using a draining target. */
    private static final long MAX_DELAY_MILLIS = 1_800;

    private static final long MAX_QUEUE_DELAY_MILLIS = 3_000;
    private static final long RAMP_MILLIS = 4_000;
    private static final long RECORD_INTERVAL_MILLIS = 500;
    private static final int RECORD_COUNT = 16;

    @Test
    void queuedUpdatesAreNotTreatedAsCurrent() {
        SimulatedFleet fleet = new SimulatedFleet(40, 2, 7);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member reader = fleet.relay("dc0");
        long startMillis = fleet.time.monotonicMillis();
        reader.queueDelayMillisAt = nowMillis ->
                Math.min(MAX_QUEUE_DELAY_MILLIS, (nowMillis - startMillis) * MAX_QUEUE_DELAY_MILLIS / RAMP_MILLIS);

        for (int i = 0; i < RECORD_COUNT; i++) {
            fleet.time.advanceMillis(RECORD_INTERVAL_MILLIS);
            fleet.writeRecord();
        }
        fleet.time.advanceMillis(2 * MAX_QUEUE_DELAY_MILLIS);

        assertWithinMaxDelay(fleet);
    }

    /**
     * While the links are not saturated, the updates of one reader are sufficient and no other instance reads the
     * store.
     */
    @Test
    void timelyUpdatesNeedNoAdditionalReaders() {
        SimulatedFleet fleet = new SimulatedFleet(40, 2, 8);
        fleet.time.advanceMillis(5_000);
        int callsBefore = fleet.storeCallCount;

        for (int i = 0; i < RECORD_COUNT; i++) {
            fleet.time.advanceMillis(RECORD_INTERVAL_MILLIS);
            fleet.writeRecord();
        }
        fleet.time.advanceMillis(2 * MAX_QUEUE_DELAY_MILLIS);

        assertWithinMaxDelay(fleet);
        assertTrue(
                fleet.storeCallCount - callsBefore <= 2 * (RECORD_COUNT * 2 + 24), fleet.storeCallsByMember::toString);
    }

    private static void assertWithinMaxDelay(SimulatedFleet fleet) {
        long worstMillis = 0;
        String worstLocation = "";
        for (SimulatedFleet.Member member : fleet.members) {
            for (long offset = 0; offset < RECORD_COUNT; offset++) {
                long appliedMillis = member.appliedAtMillis.getOrDefault(offset, Long.MAX_VALUE);
                long delayMillis = appliedMillis - fleet.writtenAtMillis(offset);
                if (delayMillis > worstMillis) {
                    worstMillis = delayMillis;
                    worstLocation = member.name + " of " + member.dataCentre + ", record " + offset;
                }
            }
        }
        assertEquals(
                0,
                Math.max(0, worstMillis - MAX_DELAY_MILLIS),
                "longest delay " + worstMillis + " ms at " + worstLocation);
    }
}
