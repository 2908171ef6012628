package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StreamLifetimeTest {

    private final StreamLifetime lifetime = new StreamLifetime(0);

    @Test
    void nothingIsKnownBeforeTheFirstConfiguration() {
        assertEquals(0, lifetime.millis(0));
    }

    /** Failure: a configuration lowers the time-out, and streams that began before it are forgotten while they run. */
    @Test
    void loweredTimeoutDoesNotShortenTheLifeOfStreamsThatHaveBegun() {
        lifetime.recordTimeout(60_000, 0);
        lifetime.recordTimeout(2_000, 10);

        assertEquals(60_000, lifetime.millis(60_000));
        assertEquals(0, lifetime.millis(60_001));
        lifetime.recordTimeout(2_000, 60_001);
        assertEquals(2_000, lifetime.millis(60_001));
    }

    /** Failure: a time-out is lowered twice, and the streams of the one between are forgotten with those of the first. */
    @Test
    void eachOfSeveralLoweredTimeoutsLastsForItsOwnStreams() {
        lifetime.recordTimeout(10_000, 0);
        lifetime.recordTimeout(6_000, 9_000);
        lifetime.recordTimeout(1_000, 9_500);

        assertEquals(10_000, lifetime.millis(10_000));
        assertEquals(6_000, lifetime.millis(10_001));
        assertEquals(6_000, lifetime.millis(15_000));
        assertEquals(0, lifetime.millis(15_001));
    }

    @Test
    void raisedTimeoutCountsAtOnce() {
        lifetime.recordTimeout(2_000, 0);
        lifetime.recordTimeout(5_000, 1_000);

        assertEquals(5_000, lifetime.millis(1_000));
        assertEquals(5_000, lifetime.millis(6_000));
    }

    /** Failure: a caller has more time than its route, and its stream is forgotten before its last try. */
    @Test
    void callersDeadlineCountsWhereItIsLongerThanTheTimeout() {
        lifetime.recordTimeout(2_000, 0);
        lifetime.recordDeadline(9_800, 0);
        lifetime.recordTimeout(2_000, 9_000);

        assertEquals(10_000, lifetime.millis(9_800));
        assertEquals(2_000, lifetime.millis(10_001));
    }

    /** Failure: one caller states an endless deadline, and the begins of all streams are kept for ever. */
    @Test
    void endlessDeadlineCountsForTenMinutes() {
        lifetime.recordDeadline(Long.MAX_VALUE, 0);

        assertEquals(600_000, lifetime.millis(600_000));
        assertEquals(0, lifetime.millis(600_001));
    }

    /** Failure: another instance reads the lower time-out later, and what it begins until then is forgotten too early. */
    @Test
    void differenceOfViewsCountsUntilTheEndOfEachBound() {
        StreamLifetime differing = new StreamLifetime(3_000);
        differing.recordTimeout(60_000, 0);
        differing.recordTimeout(2_000, 10);

        assertEquals(63_000, differing.millis(63_000));
        assertEquals(3_000, differing.millis(63_001));
    }
}
