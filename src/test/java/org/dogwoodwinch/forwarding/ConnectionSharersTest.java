package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class ConnectionSharersTest {

    /**
     * A crowd comes while answers are lost. With a sixteenth of an engine's 210 connections each, nine instances held 117
     * and refused calls; with what was seen each has half as many again.
     */
    @Test
    void nineInstancesHaveMostOfAnEnginesConnections() {
        int each = 210 / ConnectionSharers.count(OptionalInt.of(9), 16);
        assertEquals(19, each);
    }

    /** An instance that joins and is not yet counted must not take the sum over the bound, at which calls are reset. */
    @Test
    void theSumStaysBelowTheBoundWhileInstancesJoin() {
        for (int seen = 1; seen <= 500; seen++) {
            int sharers = ConnectionSharers.count(OptionalInt.of(seen), 16);
            int joining = sharers - seen;
            assertTrue(joining >= 1);
            assertTrue((seen + joining) * (540 / sharers) <= 540);
        }
    }

    @Test
    void beforeAnyListTheSettingsHold() {
        assertEquals(16, ConnectionSharers.count(OptionalInt.empty(), 16));
    }
}
