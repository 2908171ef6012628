package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class TargetLimitsTest {

    private static final OptionalDouble TWO = OptionalDouble.of(2);

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final LimitShares shares = new LimitShares("i0", () -> Optional.of(Set.of("i0")), time::monotonicMillis);
    private final TargetLimits limits = new TargetLimits(time::monotonicMillis, shares);

    @Test
    void answersSetChangeAndEndLimit() {
        assertEquals(TargetLimits.News.NONE, limits.answered("t1", OptionalDouble.empty(), now()));
        assertEquals(TargetLimits.News.NAMED, limits.answered("t1", TWO, now()));
        assertEquals(TargetLimits.News.NONE, limits.answered("t1", TWO, now()));
        assertEquals(TargetLimits.News.CHANGED, limits.answered("t1", OptionalDouble.of(3), now()));
        assertTrue(limits.isLimited("t1"));
        time.advanceMillis(1);
        assertEquals(TargetLimits.News.ENDED, limits.answered("t1", OptionalDouble.empty(), now()));
        assertFalse(limits.isLimited("t1"));
    }

    /** The answer to a call sent before the limit was known may have been made before the target stated the limit. */
    @Test
    void answerToEarlierCallDoesNotEndLimit() {
        long beforeMillis = now();
        time.advanceMillis(10);
        limits.answered("t1", TWO, beforeMillis);

        assertEquals(TargetLimits.News.NONE, limits.answered("t1", OptionalDouble.empty(), beforeMillis));

        assertTrue(limits.isLimited("t1"));
    }

    @Test
    void restartedTargetIsNotLimited() {
        limits.answered("t1", TWO, now());

        limits.forget("t1");

        assertEquals(0, limits.count());
    }

    /** Each call takes from the share, and an unused share does not accumulate. */
    @Test
    void shareIsUsedUpAndRefills() {
        settleMembership();
        limits.answered("t1", TWO, now());
        assertFalse(limits.take("t1"));

        time.advanceMillis(30_000);
        assertTrue(limits.take("t1"));
        assertFalse(limits.hasRoom("t1"));
        assertEquals(List.of("t1"), limits.usedUp());
        assertEquals(500, limits.roomMillis("t1"));

        time.advanceMillis(500);
        assertTrue(limits.take("t1"));
        assertTrue(limits.take("t2"), "states no limit");
    }

    @Test
    void olderPeerReportIsIgnored() {
        limits.told("t1", TWO, now() - 10);
        assertEquals(TargetLimits.News.NONE, limits.told("t1", OptionalDouble.of(9), now() - 20));
        assertEquals(TargetLimits.News.NONE, limits.told("t1", OptionalDouble.empty(), now() - 20));
        assertEquals(TargetLimits.News.ENDED, limits.told("t1", OptionalDouble.empty(), now() - 5));
        assertEquals(TargetLimits.News.NONE, limits.told("t1", TWO, now() - 7));
        assertEquals(TargetLimits.News.NAMED, limits.told("t1", TWO, now()));
    }

    /** An instance without a share reports the time until the next call of another instance. */
    @Test
    void capacityWithoutShareIsNextCallOfAnotherInstance() {
        TargetLimits withoutShare =
                new TargetLimits(time::monotonicMillis, new LimitShares("i0", Optional::empty, time::monotonicMillis));
        withoutShare.answered("t1", TWO, now());

        assertFalse(withoutShare.hasRoom("t1"));
        assertEquals(500, withoutShare.roomMillis("t1"));
        assertEquals(0, withoutShare.roomMillis("t2"));
    }

    private void settleMembership() {
        shares.look();
        time.advanceMillis(2_001);
        shares.look();
    }

    private long now() {
        return time.monotonicMillis();
    }
}
