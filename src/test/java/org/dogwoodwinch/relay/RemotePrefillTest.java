package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.junit.jupiter.api.Test;

class RemotePrefillTest {

    /** One engine reads the prompt, another runs the call with that memory; the caller sees one stream. */
    @Test
    void aPromptIsReadApartAndItsMemoryTakenOnce() {
        RelayFixture split = model();
        RelayFixture.CallerEnd caller = split.caller().send(modelCall("a1"));
        RelayFixture.TargetEnd reader = split.target();
        assertEquals("p1", reader.id());
        assertTrue(reader.received().contains("stage: prefill"));

        reader.answer(RelayFixture.success("a1", "h7"));
        RelayFixture.TargetEnd runner = split.target();
        assertEquals("d1", runner.id());
        String sent = runner.received();
        assertTrue(sent.contains("kv-from: 10.0.0.2:80/h7") && !sent.contains("stage:"), sent);
        runner.answer(RelayFixture.streamHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");

        assertTrue(caller.received().endsWith("0\r\n\r\n"));
        assertEquals(List.of(), split.released);
    }

    /** The caller leaves between reading and running: the memory that nobody will take is freed at its reader. */
    @Test
    void memoryThatNobodyTakesIsFreed() {
        RelayFixture split = model();
        split.unreachable.add("d1");
        split.caller().send(modelCall("a1"));

        split.target().answer(RelayFixture.success("a1", "h7"));

        assertEquals(List.of("p1/h7"), split.released);
    }

    /** The engine that reads breaks down. The call has not run: an engine that reads it itself gets it. */
    @Test
    void whatGoesWrongInReadingLeavesTheCallFreeToRun() {
        RelayFixture split = model();
        RelayFixture.CallerEnd caller = split.caller().send(modelCall("a1"));

        split.target().reset();
        RelayFixture.TargetEnd runner = split.target();
        assertEquals("d1", runner.id());
        assertFalse(runner.received().contains("kv-from"));
        runner.answer(RelayFixture.streamHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");

        assertTrue(caller.received().startsWith("HTTP/1.1 200 "));
    }

    /** The caller leaves while its prompt is read: the reader sees its connection close, and nothing runs. */
    @Test
    void aCallerThatLeavesWhileItsPromptIsReadStopsTheReading() {
        RelayFixture split = model();
        RelayFixture.CallerEnd caller = split.caller().send(modelCall("a1"));

        caller.leave();

        assertFalse(split.target().open());
        assertEquals(1, split.opened.size());
        assertEquals(0, split.loads.totalAt("p1").prefillQueue().totalTokens());
    }

    /** A busy instance gets its connection to the reader late, and the caller's leaving lies unread beside it. */
    @Test
    void aPromptWhoseCallerLeftMeanwhileIsNotRead() {
        RelayFixture split = model();
        split.connectingSlowly.add("p1");
        RelayFixture.CallerEnd caller = split.caller().send(modelCall("a1"));
        split.time.advanceMillis(150);
        split.letConnect();

        caller.leave();
        split.time.advanceMillis(10);

        assertEquals("", split.opened.get(0).received());
    }

    /**
     * The engine at which the prompt has its home cannot be reached. It never saw the call, so another engine that only
     * reads gets it; read where it runs, it would hold up all that runs there.
     */
    @Test
    void aReaderThatCannotBeReachedIsReplacedByAnother() {
        RelayFixture split = model().engine("p2", Stage.PREFILL);
        split.caller().send(modelCall("a1"));
        String home = split.target().id();
        String other = home.equals("p1") ? "p2" : "p1";
        split.unreachable.add(home);

        split.caller().send(modelCall("a2").replace("91:", "92:"));

        assertEquals(2, split.opened.size());
        assertEquals(other, split.target().id());
        assertTrue(split.target().received().contains("stage: prefill"));
    }

    /**
     * The home crashed, and another target has its address. The first call that hears so leaves it alone for a while;
     * the next one goes elsewhere at once.
     */
    @Test
    void anAddressWhereAnotherTargetAnswersIsLeftAloneForAWhile() {
        RelayFixture split = model().engine("p2", Stage.PREFILL);
        split.caller().send(modelCall("a1"));
        String home = split.target().id();
        split.target().answer("HTTP/1.1 421 Misdirected\r\nRequest-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

        split.caller().send(modelCall("a2"));

        assertFalse(split.target().id().equals(home));
        assertTrue(split.target().received().contains("stage: prefill"));
    }

    /** Another engine keeps the shared part: the reader is told to fetch it there, and how urgent the call is. */
    @Test
    void theReaderIsToldWhoKeepsThePart() {
        RelayFixture split = modelWithKeeper();

        split.caller().send(modelCall("a1"));

        String sent = split.target().received();
        assertEquals("p1", split.target().id());
        assertTrue(sent.contains("kv-fetch: 10.0.0.9:88\r\n"), sent);
        assertTrue(sent.contains("request-priority: 2\r\n"), sent);
    }

    /** Memory that is handed over is all of the prompt: nothing is fetched beside it. */
    @Test
    void theRunnerFetchesNothingBesideTheMemory() {
        RelayFixture split = modelWithKeeper();
        split.caller().send(modelCall("a1"));

        split.target().answer(RelayFixture.success("a1", "h7"));

        String sent = split.target().received();
        assertTrue(sent.contains("kv-from: 10.0.0.2:80/h7\r\n"), sent);
        assertFalse(sent.contains("kv-fetch"), sent);
    }

    private static RelayFixture model() {
        RelayFixture split = new RelayFixture().configured();
        split.engine("p1", Stage.PREFILL).engine("d1", Stage.DECODE);
        // Something waits at the engine that runs, so that reading elsewhere is sooner.
        split.loads.replacePeerLoads("peer", Map.of("d1", new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000))));
        return split;
    }

    /** Beside these, a busy engine that keeps the shared part. */
    private static RelayFixture modelWithKeeper() {
        RelayFixture split = model();
        split.listed(new Incarnation("d2", "reader", "10.0.0.9", 88, "dc-1", 64, false, Stage.DECODE, 1));
        split.parts.setCachedTokens("d2", "5c", 15_000);
        split.loads.replacePeerLoads("other", Map.of("d2", new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000))));
        return split;
    }

    private static String modelCall(String id) {
        return RelayFixture.post(
                "/model/a", id, "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000,91:5000\r\n", "prompt");
    }
}
