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

class TargetRateLimitsTest {

    private static final OptionalDouble TWO = OptionalDouble.of(2);

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final RateLimitShares shares =
            new RateLimitShares("i0", () -> Optional.of(Set.of("i0")), time::monotonicMillis);
    private final TargetRateLimits limits = new TargetRateLimits(time::monotonicMillis, shares);

    @Test
    void answersSetChangeAndEndLimit() {
        assertEquals(TargetRateLimits.LimitChange.NONE, limits.recordAnswer("t1", OptionalDouble.empty(), now()));
        assertEquals(TargetRateLimits.LimitChange.NAMED, limits.recordAnswer("t1", TWO, now()));
        assertEquals(TargetRateLimits.LimitChange.NONE, limits.recordAnswer("t1", TWO, now()));
        assertEquals(TargetRateLimits.LimitChange.CHANGED, limits.recordAnswer("t1", OptionalDouble.of(3), now()));
        assertTrue(limits.isRateLimited("t1"));
        time.advanceMillis(1);
        assertEquals(TargetRateLimits.LimitChange.ENDED, limits.recordAnswer("t1", OptionalDouble.empty(), now()));
        assertFalse(limits.isRateLimited("t1"));
    }

    /** The answer to a call sent before the limit was known may have been made before the target stated the limit. */
    @Test
    void answerToEarlierCallDoesNotEndLimit() {
        long beforeMillis = now();
        time.advanceMillis(10);
        limits.recordAnswer("t1", TWO, beforeMillis);

        assertEquals(
                TargetRateLimits.LimitChange.NONE, limits.recordAnswer("t1", OptionalDouble.empty(), beforeMillis));

        assertTrue(limits.isRateLimited("t1"));
    }

    @Test
    void restartedTargetIsNotLimited() {
        limits.recordAnswer("t1", TWO, now());

        limits.remove("t1");

        assertEquals(0, limits.limitedCount());
    }

    /** Each call takes from the share, and an unused share does not accumulate. */
    @Test
    void shareIsUsedUpAndRefills() {
        settleMembership();
        limits.recordAnswer("t1", TWO, now());
        assertFalse(limits.tryTake("t1"));

        time.advanceMillis(30_000);
        assertTrue(limits.tryTake("t1"));
        assertFalse(limits.hasCapacity("t1"));
        assertEquals(List.of("t1"), limits.exhaustedTargetIds());
        assertEquals(500, limits.millisUntilCapacity("t1"));

        time.advanceMillis(500);
        assertTrue(limits.tryTake("t1"));
        assertTrue(limits.tryTake("t2"), "states no limit");
    }

    @Test
    void olderPeerReportIsIgnored() {
        limits.recordPeerReport("t1", TWO, now() - 10);
        assertEquals(
                TargetRateLimits.LimitChange.NONE, limits.recordPeerReport("t1", OptionalDouble.of(9), now() - 20));
        assertEquals(
                TargetRateLimits.LimitChange.NONE, limits.recordPeerReport("t1", OptionalDouble.empty(), now() - 20));
        assertEquals(
                TargetRateLimits.LimitChange.ENDED, limits.recordPeerReport("t1", OptionalDouble.empty(), now() - 5));
        assertEquals(TargetRateLimits.LimitChange.NONE, limits.recordPeerReport("t1", TWO, now() - 7));
        assertEquals(TargetRateLimits.LimitChange.NAMED, limits.recordPeerReport("t1", TWO, now()));
    }

    /** An instance without a share reports the time until the next call of another instance. */
    @Test
    void capacityWithoutShareIsNextCallOfAnotherInstance() {
        TargetRateLimits withoutShare = new TargetRateLimits(
                time::monotonicMillis, new RateLimitShares("i0", Optional::empty, time::monotonicMillis));
        withoutShare.recordAnswer("t1", TWO, now());

        assertFalse(withoutShare.hasCapacity("t1"));
        assertEquals(500, withoutShare.millisUntilCapacity("t1"));
        assertEquals(0, withoutShare.millisUntilCapacity("t2"));
    }

    private void settleMembership() {
        shares.refresh();
        time.advanceMillis(2_001);
        shares.refresh();
    }

    private long now() {
        return time.monotonicMillis();
    }
}
