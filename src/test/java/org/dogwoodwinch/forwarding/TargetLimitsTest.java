package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class TargetLimitsTest {

    private static final OptionalDouble TWO = OptionalDouble.of(2);

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final TargetLimits limits = new TargetLimits(time::monotonicMillis);

    @Test
    void aLimitIsNamedChangedAndEnded() {
        assertEquals(TargetLimits.News.NONE, limits.answered("t1", OptionalDouble.empty(), now()));
        assertEquals(TargetLimits.News.NAMED, limits.answered("t1", TWO, now()));
        assertEquals(TargetLimits.News.NONE, limits.answered("t1", TWO, now()));
        assertEquals(TargetLimits.News.CHANGED, limits.answered("t1", OptionalDouble.of(3), now()));
        assertTrue(limits.isLimited("t1"));
        time.advanceMillis(1);
        assertEquals(TargetLimits.News.ENDED, limits.answered("t1", OptionalDouble.empty(), now()));
        assertFalse(limits.isLimited("t1"));
    }

    /** The answer to a call from before the limit was known may have been made before the limit was named. */
    @Test
    void anAnswerToAnEarlierCallEndsNoLimit() {
        long beforeMillis = now();
        time.advanceMillis(10);
        limits.answered("t1", TWO, beforeMillis);

        assertEquals(TargetLimits.News.NONE, limits.answered("t1", OptionalDouble.empty(), beforeMillis));

        assertTrue(limits.isLimited("t1"));
    }

    @Test
    void aTargetThatStartedAnewIsNotLimited() {
        limits.answered("t1", TWO, now());

        limits.forget("t1");

        assertEquals(0, limits.count());
    }

    private long now() {
        return time.monotonicMillis();
    }
}
