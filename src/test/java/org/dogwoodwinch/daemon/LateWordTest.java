package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What the reader of a data centre says waits on its way out, and all of it arrives, late and in order. */
class LateWordTest {

    /** Nine tenths of the least time in which a leaving target has to be heeded everywhere. */
    private static final long BOUND_MILLIS = 1_800;

    private static final long LONGEST_WAIT_MILLIS = 3_000;
    private static final long FILLS_WITHIN_MILLIS = 4_000;
    private static final long BETWEEN_RECORDS_MILLIS = 500;
    private static final int RECORDS = 16;

    @Test
    void aWordThatWaitedOnItsWayDoesNotPassForFresh() {
        RelayFleet fleet = new RelayFleet(40, 2, 7);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member reader = fleet.relay("dc0");
        long fromMillis = fleet.time.monotonicMillis();
        reader.waitMillisAt = nowMillis ->
                Math.min(LONGEST_WAIT_MILLIS, (nowMillis - fromMillis) * LONGEST_WAIT_MILLIS / FILLS_WITHIN_MILLIS);

        for (int i = 0; i < RECORDS; i++) {
            fleet.time.advanceMillis(BETWEEN_RECORDS_MILLIS);
            fleet.write();
        }
        fleet.time.advanceMillis(2 * LONGEST_WAIT_MILLIS);

        assertWithinBound(fleet);
    }

    /** Nobody needs to read for itself where the link is sound: the others' word stays that of one reader. */
    @Test
    void aWordThatWaitsNowhereIsEnough() {
        RelayFleet fleet = new RelayFleet(40, 2, 8);
        fleet.time.advanceMillis(5_000);
        int before = fleet.storeCallsCount;

        for (int i = 0; i < RECORDS; i++) {
            fleet.time.advanceMillis(BETWEEN_RECORDS_MILLIS);
            fleet.write();
        }
        fleet.time.advanceMillis(2 * LONGEST_WAIT_MILLIS);

        assertWithinBound(fleet);
        assertTrue(fleet.storeCallsCount - before <= 2 * (RECORDS * 2 + 24), fleet.storeCalls::toString);
    }

    private static void assertWithinBound(RelayFleet fleet) {
        long worst = 0;
        String where = "";
        for (RelayFleet.Member member : fleet.members) {
            for (long offset = 0; offset < RECORDS; offset++) {
                long applied = member.appliedAtMillis.getOrDefault(offset, Long.MAX_VALUE);
                long delay = applied - fleet.writtenAtMillis(offset);
                if (delay > worst) {
                    worst = delay;
                    where = member.name + " of " + member.dataCentre + ", record " + offset;
                }
            }
        }
        assertEquals(0, Math.max(0, worst - BOUND_MILLIS), "worst " + worst + " ms at " + where);
    }
}
