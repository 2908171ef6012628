package org.dogwoodwinch.queueing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class RetryScheduleTest {

    private final RetrySchedule schedule = new RetrySchedule(RandomSource.XO_RO_SHI_RO_128_PP.create(1));

    /** Guards against refused callers that return together and are refused together again. */
    @Test
    void returnsAreSpreadOverWhatIsServed() {
        int withinOneSecond = 0;
        for (int i = 0; i < 200; i++) {
            long retryMillis = schedule.reserve(call(0), OptionalDouble.of(1), 0);
            assertTrue(retryMillis > 0);
            withinOneSecond += retryMillis <= 1_000 ? 1 : 0;
        }

        // Half of a rate of one per millisecond, for calls of a work of 100.
        assertEquals(5, withinOneSecond, 1);
    }

    @Test
    void prioritiesHaveTimesOfTheirOwn() {
        for (int i = 0; i < 50; i++) {
            schedule.reserve(call(1), OptionalDouble.of(1), 0);
        }

        assertTrue(schedule.reserve(call(0), OptionalDouble.of(1), 0) <= 250);
    }

    @Test
    void timeIsBoundedWithoutServiceRate() {
        for (int i = 0; i < 5_000; i++) {
            long retryMillis = schedule.reserve(call(0), OptionalDouble.empty(), 0);
            assertTrue(retryMillis > 0 && retryMillis <= 30_000, retryMillis + " ms");
        }
        assertEquals(30_000, schedule.reserve(call(0), OptionalDouble.of(0), 0));
    }

    private static WaitingCall call(int priority) {
        return new WaitingCall(1, "a", priority, 100, 500, 500, false);
    }
}
