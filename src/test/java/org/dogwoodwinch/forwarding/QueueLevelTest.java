package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class QueueLevelTest {

    /** A late call is placed behind all calls of its own priority and before all calls of a less urgent one. */
    @Test
    void lateCallsStayWithinTheirPriority() {
        for (int priority = 0; priority < 4; priority++) {
            assertTrue(QueueLevel.onTime(priority) < QueueLevel.late(priority));
            assertTrue(QueueLevel.late(priority) < QueueLevel.onTime(priority + 1));
        }
    }

    @Test
    void anyPriorityMapsToAValidLevel() {
        assertEquals(0, QueueLevel.onTime(-3));
        assertEquals(8, QueueLevel.onTime(250));
        assertEquals(9, QueueLevel.late(250));
    }
}
