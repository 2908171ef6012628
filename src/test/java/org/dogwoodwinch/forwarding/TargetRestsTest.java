package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class TargetRestsTest {

    private static final long MAX_JITTER_MILLIS = 500;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final TargetRests rests =
            new TargetRests(time::monotonicMillis, RandomSource.XO_RO_SHI_RO_128_PP.create(3));

    @Test
    void targetRestsForStatedTimeAndAtMostTheJitterLonger() {
        rests.recordRest("a", 7, 3_000);

        time.advanceMillis(2_999);
        assertTrue(rests.isResting("a", 7));
        assertFalse(rests.mayReceive(target(7)));
        assertEquals(List.of("a"), rests.restingTargetIds());
        time.advanceMillis(1 + MAX_JITTER_MILLIS);

        assertFalse(rests.isResting("a", 7));
        assertTrue(rests.mayReceive(target(7)));
    }

    @Test
    void shorterRestThatIsStatedLaterDoesNotEndTheLongerOne() {
        rests.recordRest("a", 7, 3_000);
        time.advanceMillis(1_000);
        rests.recordRest("a", 7, 100);

        time.advanceMillis(1_999);
        assertTrue(rests.isResting("a", 7));
    }

    @Test
    void restBelongsToOneStart() {
        rests.recordRest("a", 7, 3_000);
        assertTrue(rests.mayReceive(target(8)));

        rests.recordRest("a", 8, 1_000);
        time.advanceMillis(1_000 + MAX_JITTER_MILLIS);
        assertTrue(rests.mayReceive(target(8)), "the rest of the earlier start is not added");
    }

    @Test
    void absurdRestIsBounded() {
        assertTrue(rests.recordRest("a", 7, Long.MAX_VALUE) <= 300_000 + MAX_JITTER_MILLIS);
        assertEquals(0, rests.recordRest("b", 7, 0));
        assertEquals(0, rests.recordRest("b", 7, -5));
        assertFalse(rests.isResting("b", 7));
    }

    @Test
    void firstCallAfterRestIsSentAloneUntilItIsAnsweredOrSlow() {
        rests.recordRest("a", 7, 1_000);
        long beforeRestMillis = time.monotonicMillis() - 5;
        time.advanceMillis(1_000 + MAX_JITTER_MILLIS);

        rests.recordSend(target(7));
        assertFalse(rests.mayReceive(target(7)));
        rests.recordAnswer(target(7), beforeRestMillis);
        assertFalse(rests.mayReceive(target(7)), "an answer to a call of before shows nothing");
        rests.recordAnswer(target(7), time.monotonicMillis());
        assertTrue(rests.mayReceive(target(7)));

        rests.recordRest("a", 7, 1_000);
        time.advanceMillis(1_000 + MAX_JITTER_MILLIS);
        rests.recordSend(target(7));
        time.advanceMillis(250);
        assertTrue(rests.mayReceive(target(7)), "a slow first call holds back no others");
    }

    private static Incarnation target(long startedMillis) {
        return new Incarnation("a", "s", "10.0.0.1", 80, "dc", 6, false, Stage.WHOLE, 0, startedMillis);
    }
}
