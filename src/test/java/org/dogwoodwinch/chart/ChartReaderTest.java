package org.dogwoodwinch.chart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ChartReaderTest {

    private final ChartReader<State, Event, Action> reader = new ChartReader<>(State.class, Event.class, Action.class);

    @Test
    void aSoundChartLeadsFromStateToState() {
        StateChart<State, Event, Action> chart = reader.read("sound", """
                { "initial": "OFF", "final": ["BROKEN"], "states": {
                    "OFF": { "PUSH": {"to": "ON", "do": "BEEP"}, "HIT": "ignore" }, // a comment
                    "ON": { "PUSH": {"to": "OFF"}, "HIT": {"to": "BROKEN"} } } }
                """);
        assertEquals(State.OFF, chart.initial());
        assertEquals(
                Optional.of(new ChartStep<>(State.ON, Optional.of(Action.BEEP))), chart.next(State.OFF, Event.PUSH));
        assertEquals(Optional.empty(), chart.next(State.OFF, Event.HIT));
        assertTrue(chart.isFinal(State.BROKEN));
    }

    @Test
    void anUnreachableStateIsRejected() {
        assertFault("state BROKEN is unreachable", """
                { "initial": "OFF", "final": ["BROKEN"], "states": {
                    "OFF": { "PUSH": {"to": "ON"}, "HIT": "ignore" },
                    "ON": { "PUSH": {"to": "OFF"}, "HIT": "ignore" } } }
                """);
    }

    @Test
    void aMissingTransitionIsRejected() {
        assertFault("state ON has no transition for HIT and does not ignore it", """
                { "initial": "OFF", "final": ["BROKEN"], "states": {
                    "OFF": { "PUSH": {"to": "ON"}, "HIT": {"to": "BROKEN"} },
                    "ON": { "PUSH": {"to": "OFF"} } } }
                """);
    }

    @Test
    void unknownNamesAreRejected() {
        String chart = """
                { "initial": "OUT", "final": ["BROKEN"], "states": {
                    "OFF": { "PUSH": {"to": "UP", "do": "SING"}, "HIT": {"to": "BROKEN"}, "PULL": "ignore" },
                    "ON": { "PUSH": {"to": "OFF"}, "HIT": "ignore" } } }
                """;
        assertFault("unknown action of OFF 'SING'", chart);
        assertFault("unknown initial state 'OUT'", chart);
        assertFault("unknown target of a transition of OFF 'UP'", chart);
        assertFault("unknown event of OFF 'PULL'", chart);
    }

    @Test
    void aStateWithoutEventsIsRejectedUnlessItIsFinal() {
        assertFault("state ON must either be final or have its events, and not both", """
                { "initial": "OFF", "final": ["BROKEN"], "states": {
                    "OFF": { "PUSH": {"to": "ON"}, "HIT": {"to": "BROKEN"} } } }
                """);
    }

    private void assertFault(String fault, String text) {
        String message = assertThrows(IllegalStateException.class, () -> reader.read("faulty", text))
                .getMessage();
        assertTrue(message.contains(fault), message);
    }

    private enum State {
        OFF,
        ON,
        BROKEN
    }

    private enum Event {
        PUSH,
        HIT
    }

    private enum Action {
        BEEP
    }
}
