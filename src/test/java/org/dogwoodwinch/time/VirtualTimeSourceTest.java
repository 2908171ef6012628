package org.dogwoodwinch.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class VirtualTimeSourceTest {

    private final VirtualTimeSource time = new VirtualTimeSource(1_000);
    private final List<String> ran = new ArrayList<>();

    @Test
    void timersRunInOrderOfDueTimeThenOfScheduling() {
        time.schedule(20, () -> ran.add("late"));
        time.schedule(10, () -> ran.add("first"));
        time.schedule(10, () -> ran.add("second"));
        time.advanceMillis(20);
        assertEquals(List.of("first", "second", "late"), ran);
    }

    @Test
    void aTimerSeesItsOwnDueTimeAndMayScheduleAnother() {
        time.schedule(10, () -> time.schedule(5, () -> ran.add("at " + time.monotonicMillis())));
        time.advanceMillis(100);
        assertEquals(List.of("at 15"), ran);
    }

    @Test
    void aCancelledTimerDoesNotRun() {
        time.schedule(10, () -> ran.add("cancelled")).cancel();
        time.advanceMillis(10);
        assertEquals(List.of(), ran);
    }

    @Test
    void aWallClockJumpLeavesMonotonicTimeAlone() {
        time.jumpWallMillis(-500);
        assertEquals(500, time.wallMillis());
        assertEquals(0, time.monotonicMillis());
    }

    @Test
    void negativeAdvanceIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> time.advanceMillis(-1));
    }
}
