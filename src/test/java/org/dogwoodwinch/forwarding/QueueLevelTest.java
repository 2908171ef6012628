package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class QueueLevelTest {

    /** A late call stands behind all of its own urgency and before all that is less urgent. */
    @Test
    void lateCallsStayWithinTheirUrgency() {
        for (int urgency = 0; urgency < 4; urgency++) {
            assertTrue(QueueLevel.onTime(urgency) < QueueLevel.late(urgency));
            assertTrue(QueueLevel.late(urgency) < QueueLevel.onTime(urgency + 1));
        }
    }

    @Test
    void everyRankHasALevelThatEnginesKnow() {
        assertEquals(0, QueueLevel.onTime(-3));
        assertEquals(8, QueueLevel.onTime(250));
        assertEquals(9, QueueLevel.late(250));
    }
}
