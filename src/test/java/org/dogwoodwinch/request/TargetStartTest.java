package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TargetStartTest {

    @Test
    void nameLeadsBackToTarget() {
        assertEquals("i-1", TargetStart.nameOf("i-1", 0));
        assertEquals("i-1@1700", TargetStart.nameOf("i-1", 1_700));
        assertEquals("i-1", TargetStart.targetIdOf("i-1@1700"));
        assertEquals("i-1", TargetStart.targetIdOf("i-1"));
        assertEquals("a@b", TargetStart.targetIdOf("a@b"));
    }
}
