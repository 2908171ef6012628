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

/** A target says in an answer that it leaves, while the list of targets shows it as ready. */
class LeavingTargetTest {

    private static final String LEAVING = "Server-Leaving: 1\r\n";

    /** Long after every time limit that an operator states for a leaving target. */
    private static final long LATER_MILLIS = 30_000;

    @Test
    void targetGetsNoCallAfterAnyKindOfAnswerThatSaysItLeaves() {
        Map<String, String> answers = Map.of(
                "success", leaving(RelayFixture.successResponse("a1", "own")),
                "overload", leaving(failure(503, "Not-Run: 1\r\n")),
                "overload that may have run", leaving(failure(503, "")),
                "misdirected", leaving(failure(421, "")),
                "error", leaving(failure(500, "Server-Stamp: s\r\n")),
                "head of an unfinished body",
                        leaving("HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 99\r\n\r\n"),
                "answer to an earlier call", leaving(RelayFixture.successResponse("a0", "other")));
        answers.forEach((kind, answer) -> {
            RelayFixture relay = plainRelay();
            RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
            String leavingId = relay.latestTargetConnection().targetId();
            relay.latestTargetConnection().respond(answer);
            caller.takeReceived();

            assertNoCallReaches(leavingId, relay, kind);
        });
    }

    @Test
    void streamsHeadKeepsNextCallFromTarget() {
        RelayFixture relay = plainRelay();
        relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "a1"));
        String leavingId = relay.latestTargetConnection().targetId();

        relay.latestTargetConnection().respond(leaving(RelayFixture.streamResponseHead("a1")));

        assertNoCallReaches(leavingId, relay, "stream");
    }

    @Test
    void prefillAnswerKeepsNextPromptFromEngine() {
        RelayFixture relay = disaggregatedRelay("d1", "d2");
        relay.connectCaller().send(modelRequest("a1"));
        relay.latestTargetConnection().respond(leaving(RelayFixture.successResponse("a1", "h7")));
        assertTrue(relay.targetConnections.get(0).takeReceived().contains("a1"));

        relay.connectCaller().send(modelRequest("a2"));

        assertEquals("p1", relay.targetConnections.get(0).targetId());
        assertNothingReaches("p1", "a2", relay);
    }

    /** The order of the record: a prefill succeeds, the first engine rejects the call, the second one leaves. */
    @Test
    void callIsNotSentToLeavingEngineAsThirdChoice() {
        RelayFixture relay = disaggregatedRelay("d1", "d2");
        relay.connectCaller().send(modelRequest("a1"));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "h7"));
        String leavingId = relay.latestTargetConnection().targetId();
        relay.latestTargetConnection().respond(leaving(RelayFixture.streamResponseHead("a1")));
        relay.latestTargetConnection().takeReceived();

        RelayFixture.FakeCaller caller = relay.connectCaller().send(modelRequest("a2"));
        RelayFixture.FakeTargetConnection prefill = sentConnection(relay, "a2");
        prefill.respond(RelayFixture.successResponse("a2", "h8"));
        relay.latestTargetConnection().respond(failure(421, "").replace("a1", "a2"));

        assertNothingReaches(leavingId, "a2", relay);
        String refusal = caller.takeReceived();
        assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);
    }

    @Test
    void callThatWaitsForConnectionIsNotWrittenAfterAnswer() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        relay.delayedTargetIds.add("t1");
        RelayFixture.FakeCaller waiting = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a2"));

        first.respond(leaving(RelayFixture.successResponse("a1", "own")));
        relay.withPlainTarget("t2").completeDelayedConnects();

        assertEquals("", relay.targetConnections.get(1).takeReceived());
        assertEquals("t2", relay.latestTargetConnection().targetId());
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a2", "own"));
        assertTrue(waiting.takeReceived().endsWith("own"));
    }

    @Test
    void brokenStreamIsNotResumedAtLeavingTarget() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection().respond(leaving(RelayFixture.successResponse("a1", "own")));
        relay.withPlainTarget("t2").connectCaller().send(RelayFixture.getRequest("/resume/a", "a2"));
        assertEquals("t2", relay.latestTargetConnection().targetId());

        relay.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead("a2") + RelayFixture.chunk("id: 1\ndata: x\n\n"));
        relay.latestTargetConnection().reset();

        assertNothingReaches("t1", "a2", relay);
    }

    @Test
    void lastTargetThatLeavesGetsNothingAndCallersAreRefusedAtOnce() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection().respond(leaving(RelayFixture.successResponse("a1", "own")));

        String refusal = relay.connectCaller()
                .send(RelayFixture.getRequest("/once/a", "a2"))
                .takeReceived();

        assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);
        assertTrue(refusal.contains("retry-after: 0.2"), refusal);
        assertEquals(1, relay.targetConnections.size());
    }

    @Test
    void entryOfSameStartDoesNotUndoAnswerAndNewStartDoes() {
        RelayFixture relay = new RelayFixture().withRoutes().withTarget(start(5_000));
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection().respond(leaving(RelayFixture.successResponse("a1", "own")));

        relay.withTarget(start(5_000));
        relay.time.advanceMillis(LATER_MILLIS);
        relay.removeTarget("t1").withTarget(start(5_000));
        assertTrue(relay.connectCaller()
                .send(RelayFixture.getRequest("/once/a", "a2"))
                .takeReceived()
                .startsWith("HTTP/1.1 503 "));

        relay.withTarget(start(6_000));
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a3"));
        assertTrue(relay.latestTargetConnection().takeReceived().contains("a3"));
    }

    @Test
    void answerOfEarlierStartDoesNotKeepCallsFromNextStart() {
        RelayFixture relay = new RelayFixture().withRoutes().withTarget(start(5_000));
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        RelayFixture.FakeTargetConnection earlier = relay.latestTargetConnection();

        relay.withTarget(start(6_000));
        earlier.respond(leaving(RelayFixture.successResponse("a1", "own")));

        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a2"));
        assertTrue(relay.latestTargetConnection().takeReceived().contains("a2"));
    }

    @Test
    void stoppingInstanceSendsNothingThereForOpenConnections() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection().respond(leaving(RelayFixture.successResponse("a1", "own")));
        assertTrue(caller.takeReceived().endsWith("own"));
        relay.service.startDraining();

        String refusal = caller.send(RelayFixture.getRequest("/once/a", "a2")).takeReceived();

        assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);
        assertNothingReaches("t1", "a2", relay);
    }

    /** The process is suspended between the answer and the write of a call that waits for its connection. */
    @Test
    void callIsNotWrittenAfterSuspension() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "a1"));
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        relay.delayedTargetIds.add("t1");
        relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "a2"));
        first.respond(leaving(RelayFixture.streamResponseHead("a1")));

        relay.time.advanceMillis(5_000);
        relay.service.closeIdleConnections();
        relay.completeDelayedConnects();

        assertNothingReaches("t1", "a2", relay);
    }

    @Test
    void callUnderWayAtLeavingTargetIsAnswered() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a2"));
        relay.targetConnections.get(1).respond(leaving(RelayFixture.successResponse("a2", "own")));

        relay.targetConnections.get(0).respond(leaving(RelayFixture.successResponse("a1", "own")));

        assertTrue(caller.takeReceived().endsWith("own"));
        assertFalse(relay.targetConnections.get(0).isOpen());
    }

    private static void assertNothingReaches(String targetId, String requestId, RelayFixture relay) {
        for (RelayFixture.FakeTargetConnection connection : relay.targetConnections) {
            if (connection.targetId().equals(targetId)) {
                assertFalse(connection.takeReceived().contains(requestId), targetId);
            }
        }
    }

    private static void assertNoCallReaches(String leavingId, RelayFixture relay, String kind) {
        int earlierConnections = relay.targetConnections.size();
        relay.time.advanceMillis(1_000);
        for (int i = 0; i < 20; i++) {
            relay.connectCaller().send(RelayFixture.getRequest("/once/a", "b" + i));
            relay.time.advanceMillis(LATER_MILLIS / 20);
        }
        assertTrue(
                relay.targetConnections.stream()
                        .skip(earlierConnections)
                        .noneMatch(connection -> connection.targetId().equals(leavingId)),
                kind);
        for (RelayFixture.FakeTargetConnection connection : relay.targetConnections.subList(0, earlierConnections)) {
            if (connection.targetId().equals(leavingId)) {
                assertFalse(connection.takeReceived().contains("request-id: b"), kind);
            }
        }
    }

    private static RelayFixture.FakeTargetConnection sentConnection(RelayFixture relay, String requestId) {
        return relay.targetConnections.stream()
                .filter(connection -> connection.takeReceived().contains(requestId))
                .findFirst()
                .orElseThrow();
    }

    private static RelayFixture plainRelay() {
        return new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");
    }

    private static RelayFixture disaggregatedRelay(String... decodeIds) {
        RelayFixture relay = new RelayFixture().withRoutes();
        relay.withEngine("p1", Stage.PREFILL);
        TargetLoad busy = new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000));
        for (String id : List.of(decodeIds)) {
            relay.withEngine(id, Stage.DECODE);
        }
        relay.loads.replacePeerLoads("peer", Map.of("d1", busy, "d2", busy));
        return relay;
    }

    private static Incarnation start(long startedMillis) {
        return new Incarnation("t1", "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0, startedMillis);
    }

    private static String modelRequest(String id) {
        return RelayFixture.postRequest(
                "/model/a", id, "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000,91:5000\r\n", "prompt");
    }

    private static String failure(int status, String headers) {
        return "HTTP/1.1 " + status + " X\r\nRequest-Id: a1\r\n" + headers + "Content-Length: 0\r\n\r\n";
    }

    private static String leaving(String answer) {
        return answer.replaceFirst("\r\n", "\r\n" + LEAVING);
    }
}
