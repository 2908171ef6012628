package org.dogwoodwinch.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.fault.Fault;
import org.dogwoodwinch.fault.FaultKind;
import org.junit.jupiter.api.Test;

class FaultWindowsTest {

    private final List<HistoryEvent> events = new ArrayList<>();

    @Test
    void timeInWhichTheLogWasOutDoesNotCount() {
        fault(FaultKind.LOG_OUTAGE, Fault.PLATFORM, 100, 300);
        fault(FaultKind.PAUSE, "n1", 200, 400);
        fault(FaultKind.KILL, "n2", 0, 1_000);
        assertEquals(450, windows().afterReachableMillis("n1", 50, 100));
        assertEquals(90, windows().afterReachableMillis("n1", 50, 40));
    }

    @Test
    void aFaultWithoutEndLeavesNoTime() {
        events.add(new FleetEvent.FaultBegan(10, new Fault(FaultKind.CUT_OFF, "n1", 10, 5)));
        assertEquals(Long.MAX_VALUE, windows().afterReachableMillis("n1", 0, 100));
    }

    @Test
    void onlyAFaultOfTheInstanceWithinTheTimesExplainsALostCall() {
        fault(FaultKind.KILL, "n1", 100, 300);
        fault(FaultKind.LOG_OUTAGE, Fault.PLATFORM, 0, 1_000);
        assertTrue(windows().explainsLostCall("n1", 250, 500));
        assertFalse(windows().explainsLostCall("n1", 301, 500));
        assertFalse(windows().explainsLostCall("n2", 100, 300));
    }

    private FaultWindows windows() {
        return new FaultWindows(new History(events));
    }

    private void fault(FaultKind kind, String subject, long fromMillis, long toMillis) {
        Fault fault = new Fault(kind, subject, fromMillis, toMillis - fromMillis);
        events.add(new FleetEvent.FaultBegan(fromMillis, fault));
        events.add(new FleetEvent.FaultEnded(toMillis, fault));
    }
}
