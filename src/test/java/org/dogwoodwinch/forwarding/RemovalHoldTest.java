package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class RemovalHoldTest {

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final RemovalHold hold = new RemovalHold(1_800, 2_600);

    @Test
    void removalWithoutOutageTakesEffectAtOnce() {
        assertEquals(10_000, hold.heldUntilMillis(10_000, 9_800, NEVER_MILLIS));
        assertEquals(10_000, hold.heldUntilMillis(10_000, 9_800, 7_400));
    }

    /** Guards against a grace period that counts from the reading while the store acknowledges again. */
    @Test
    void removalAfterReturnIsHeldWithinPromisedTime() {
        assertEquals(10_800, hold.heldUntilMillis(9_900, 9_000, 8_500));
    }

    /** Guards against refusing all calls until the entries that lapsed in an outage are back. */
    @Test
    void removalFromOutageIsHeldUntilEntriesAreRenewed() {
        assertEquals(11_600, hold.heldUntilMillis(9_100, 4_000, 9_000));
    }

    /** Guards against an outage so short that the promised time can still be kept, and is not. */
    @Test
    void removalFromShortOutageIsHeldWithinPromisedTime() {
        assertEquals(9_500, hold.heldUntilMillis(9_100, 7_700, 9_000));
    }
}
