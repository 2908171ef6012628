package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.junit.jupiter.api.Test;

/** A target's list changes between a target's choice and the first byte to it; no quota has a repeat left. */
class TargetThatLeavesBeforeTheWriteTest {

    private static final double NO_REPEATS = 0;

    @Test
    void aTargetThatLeavesDuringTheConnectGetsNoCall() {
        RelayFixture relay = connecting();
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));

        relay.leaving("t1").plain("t2").letConnect();

        assertSentElsewhere(relay, caller);
    }

    @Test
    void aTargetThatIsGoneDuringTheConnectGetsNoCall() {
        RelayFixture relay = connecting();
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));

        relay.gone("t1").plain("t2").letConnect();

        assertSentElsewhere(relay, caller);
    }

    @Test
    void aTargetThatStartsAgainDuringTheConnectGetsNoCallMeantForItsEarlierStart() {
        RelayFixture relay = connecting();
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));

        relay.startedAgain("t1").letConnect();

        RelayFixture.TargetEnd earlier = relay.opened.get(0);
        assertEquals("", earlier.received());
        assertEquals(2, relay.opened.size());
        relay.target().answer(RelayFixture.success("a1", "own"));
        assertTrue(caller.received().endsWith("own"));
    }

    /** A call that is not young is put off once more after its connection is there. */
    @Test
    void aTargetThatLeavesWhileTheCallIsPutOffGetsNoCall() {
        RelayFixture relay = connecting();
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        relay.time.advanceMillis(150);
        relay.letConnect();

        relay.leaving("t1").plain("t2");
        relay.time.advanceMillis(1);

        assertSentElsewhere(relay, caller);
    }

    @Test
    void aReaderThatLeavesDuringTheConnectReadsNothing() {
        RelayFixture split = model();
        split.connectingSlowly.addAll(Set.of("p1", "p2"));
        split.caller().send(modelCall("a1"));
        split.letConnect();
        String home = split.target().id();

        RelayFixture again = model();
        again.connectingSlowly.addAll(Set.of("p1", "p2"));
        again.caller().send(modelCall("a1"));
        again.leaving(home).letConnect();

        assertEquals(home, again.opened.get(0).id());
        assertEquals("", again.opened.get(0).received());
        assertEquals(2, again.opened.size());
        assertNotEquals(home, again.target().id());
        assertTrue(again.target().received().contains("stage: prefill"));
    }

    /** The memory is kept for the one that runs the call in its place. */
    @Test
    void aRunnerThatLeavesDuringTheConnectAfterThePromptWasReadGetsNoCall() {
        RelayFixture split = model();
        split.connectingSlowly.addAll(Set.of("d1", "d2"));
        RelayFixture.CallerEnd caller = split.caller().send(modelCall("a1"));
        split.target().answer(RelayFixture.success("a1", "h7"));
        assertEquals(1, split.opened.size());

        split.leaving("d1").leaving("d2").engine("d3", Stage.DECODE).letConnect();

        assertEquals("", split.opened.get(1).received());
        assertEquals("d3", split.target().id());
        String sent = split.target().received();
        assertTrue(sent.contains("kv-from: 10.0.0.2:80/h7"), sent);
        split.target().answer(RelayFixture.streamHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");
        assertTrue(caller.received().endsWith("0\r\n\r\n"));
    }

    private static void assertSentElsewhere(RelayFixture relay, RelayFixture.CallerEnd caller) {
        RelayFixture.TargetEnd left = relay.opened.get(0);
        assertEquals("t1", left.id());
        assertEquals("", left.received());
        assertFalse(left.open());
        assertEquals("t2", relay.target().id());
        relay.target().answer(RelayFixture.success("a1", "own"));
        assertTrue(caller.received().endsWith("own"));
    }

    private static RelayFixture connecting() {
        RelayFixture relay = new RelayFixture(NO_REPEATS).configured().plain("t1");
        relay.connectingSlowly.add("t1");
        return relay;
    }

    private static RelayFixture model() {
        RelayFixture split = new RelayFixture(NO_REPEATS).configured();
        split.engine("p1", Stage.PREFILL)
                .engine("p2", Stage.PREFILL)
                .engine("d1", Stage.DECODE)
                .engine("d2", Stage.DECODE);
        TargetLoad busy = new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000));
        split.loads.replacePeerLoads("peer", Map.of("d1", busy, "d2", busy));
        return split;
    }

    private static String modelCall(String id) {
        return RelayFixture.post(
                "/model/a", id, "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000,91:5000\r\n", "prompt");
    }
}
