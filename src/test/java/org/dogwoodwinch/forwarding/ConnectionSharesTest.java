package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class ConnectionSharesTest {

    /**
     * With 210 / 16 = 13 connections each, nine instances held 117 of 210 and refused calls while answers were lost.
     */
    @Test
    void nineInstancesEachGetNineteenOfTwoHundredTenConnections() {
        int each = 210 / ConnectionShares.sharingInstancesCount(OptionalInt.of(9), 16);
        assertEquals(19, each);
    }

    /**
     * An instance that joins before it is counted must not raise the sum above the limit: the target resets the
     * excess.
     */
    @Test
    void sumStaysWithinLimitWhileInstancesJoin() {
        for (int seen = 1; seen <= 500; seen++) {
            int instancesCount = ConnectionShares.sharingInstancesCount(OptionalInt.of(seen), 16);
            int joining = instancesCount - seen;
            assertTrue(joining >= 1);
            assertTrue((seen + joining) * (540 / instancesCount) <= 540);
        }
    }

    @Test
    void defaultCountIsUsedBeforeFirstList() {
        assertEquals(16, ConnectionShares.sharingInstancesCount(OptionalInt.empty(), 16));
    }
}
