package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StopSignalsTest {

    /**
     * An operator who does not want to wait for the drain sends a second signal, which ends the process immediately.
     */
    @Test
    void firstSignalDrainsAndSecondExits() {
        List<String> actions = new ArrayList<>();
        StopSignals signals = new StopSignals(() -> actions.add("drain"), () -> actions.add("end"));
        signals.onSignal("SIGTERM");
        signals.onSignal("SIGINT");
        assertEquals(List.of("drain", "end"), actions);
    }

    /** Failure: a platform repeats SIGTERM, and the process ends at once with the calls that it drains. */
    @Test
    void repeatedTerminationLetsTheDrainGoOn() {
        List<String> actions = new ArrayList<>();
        StopSignals signals = new StopSignals(() -> actions.add("drain"), () -> actions.add("end"));
        signals.onSignal("SIGTERM");
        signals.onSignal("SIGTERM");
        assertEquals(List.of("drain"), actions);

        signals.onSignal("SIGINT");
        assertEquals(List.of("drain", "end"), actions);
    }

    @Test
    void secondInterruptExits() {
        List<String> actions = new ArrayList<>();
        StopSignals signals = new StopSignals(() -> actions.add("drain"), () -> actions.add("end"));
        signals.onSignal("SIGINT");
        signals.onSignal("SIGINT");
        assertEquals(List.of("drain", "end"), actions);
    }
}
