package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Answers whose status is none of the protocol. */
class StrangeStatusTest {

    private final RelayFixture relay = new RelayFixture().withRoutes();

    static Stream<String> statuses() {
        return Stream.of(
                "000",
                "099",
                "600",
                "999",
                "00",
                "0",
                "20",
                "0200",
                "00200",
                "2000",
                "+200",
                "+20",
                "-01",
                "2e2",
                "20x",
                "x00",
                "0x200",
                "\u0660\u0660\u0662",
                "2\u00b20");
    }

    private static String answer(String status, String id, String framing, String body) {
        return "HTTP/1.1 " + status + " OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s-" + id + "\r\n" + framing
                + "\r\n" + body;
    }

    private static String whole(String status, String id) {
        return answer(status, id, "Content-Length: 4\r\n", "done");
    }

    private static void assertBadGateway(RelayFixture.FakeCaller caller) {
        String received = caller.takeReceived();
        assertTrue(received.startsWith("HTTP/1.1 502 ") && received.endsWith("may have run"), received);
        assertFalse(received.contains("s-a"), received);
    }

    /** Failure: a caller gets the body of an answer whose status says nothing, as an answer. */
    @ParameterizedTest
    @MethodSource("statuses")
    void answerWithStrangeStatusIsNeverPassedOn(String status) {
        relay.withPlainTarget("t1").withPlainTarget("t2");
        for (String framing : List.of("Content-Length: 4\r\n", "", "Transfer-Encoding: chunked\r\n")) {
            String body = framing.startsWith("T") ? "4\r\ndone\r\n0\r\n\r\n" : "done";
            for (String path : List.of("/once/x", "/stream/x")) {
                RelayFixture.FakeCaller caller =
                        relay.connectCaller().send(RelayFixture.postRequest(path, "a1", "", "q"));
                relay.latestTargetConnection().respond(answer(status, "a1", framing, body));
                assertFalse(relay.latestTargetConnection().isOpen());
                assertBadGateway(caller);
            }
        }
    }

    /** Failure: a strange answer to the second call of a connection is passed on, or ends the connection unseen. */
    @ParameterizedTest
    @MethodSource("statuses")
    void strangeAnswerOnKeptConnectionIsNeverPassedOn(String status) {
        relay.withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.postRequest("/once/x", "b1", "", "q"));
        relay.latestTargetConnection().respond(whole("200", "b1"));
        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 200 "));
        caller.send(RelayFixture.postRequest("/once/x", "a1", "", "q"));
        assertEquals(1, relay.targetConnections.size());
        relay.latestTargetConnection().respond(whole(status, "a1"));

        assertBadGateway(caller);
    }

    /** Failure: a call that may run twice fails although another target would answer it. */
    @ParameterizedTest
    @MethodSource("statuses")
    void callThatMayRunTwiceIsSentAgain(String status) {
        relay.withPlainTarget("t1").withPlainTarget("t2");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.postRequest("/safe/x", "a1", "", "q"));
        relay.latestTargetConnection().respond(whole(status, "a1"));
        assertEquals(2, relay.targetConnections.size());
        relay.latestTargetConnection().respond(whole("200", "a1"));

        String received = caller.takeReceived();
        assertTrue(received.startsWith("HTTP/1.1 200 ") && received.endsWith("done"), received);
    }

    /** Failure: an interim head of no known status is passed over, and what follows it is believed. */
    @ParameterizedTest
    @MethodSource("statuses")
    void answerBehindStrangeInterimHeadIsNotBelieved(String status) {
        relay.withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.postRequest("/once/x", "a1", "", "q"));
        relay.latestTargetConnection().respond("HTTP/1.1 " + status + " X\r\n\r\n" + whole("200", "a1"));

        assertBadGateway(caller);
    }

    /** Failure: the handle in a strange answer to a prefill is given to the engine that runs the call. */
    @ParameterizedTest
    @MethodSource("statuses")
    void strangeAnswerToPrefillGivesNoHandle(String status) {
        relay.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/a", "a1", "Model: m\r\nToken-Count: 2000,8\r\nPrompt-Prefix: 5c:1500,91:500\r\n", "x"));
        assertEquals("p1", relay.latestTargetConnection().targetId());
        relay.latestTargetConnection().respond(answer(status, "a1", "Content-Length: 2\r\n", "h7"));

        assertEquals("d1", relay.latestTargetConnection().targetId());
        assertFalse(relay.latestTargetConnection().takeReceived().contains("kv-from"));
    }

    /** Failure: the strange answer to a health check or an order counts as one. */
    @ParameterizedTest
    @MethodSource("statuses")
    void strangeControlAnswerIsLost(String status) {
        FakeControlServer server = new FakeControlServer();
        ControlClient client = new ControlClient(server, new VirtualTimeSource(0));
        List<ControlReply> replies = new ArrayList<>();
        client.call(
                        InetSocketAddress.createUnresolved("10.0.0.1", 80),
                        new ControlRequest(HttpMethod.GET, "/healthz", new DefaultHttpHeaders(), Bytes.EMPTY),
                        1_000)
                .thenAccept(replies::add);
        server.latest().send(FakeControlServer.answer(status + " OK", "{}"));

        assertEquals(1, replies.size());
        assertTrue(replies.get(0) instanceof ControlReply.Lost, replies::toString);
        assertFalse(server.latest().isOpen());
    }

    /** Failure: an instance that was asked to take a call over sends a strange answer, which the caller gets. */
    @ParameterizedTest
    @MethodSource("statuses")
    void strangeAnswerOfOtherInstanceIsNeverPassedOn(String status) {
        VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        RelayFixture sound = new RelayFixture(50, time, "b", Set.of("a", "b")).withRoutes();
        RelayFixture cut = new RelayFixture(50, time, "a", Set.of("a", "b")).withRoutes();
        List<String> targetIds = List.of("t1", "t2", "t3");
        for (RelayFixture instance : List.of(cut, sound)) {
            targetIds.forEach(instance::withPlainTarget);
            instance.service.startIsolationWatch();
        }
        cut.neighbourLinks.add("b", sound);
        cut.unreachableTargetIds.addAll(targetIds);
        cut.connectCaller().send(RelayFixture.getRequest("/safe/x", "x1"));
        time.advanceMillis(200);
        assertTrue(cut.service.isIsolated());
        cut.neighbourLinks.rewrite = text -> text.replace("HTTP/1.1 200", "HTTP/1.1 " + status);
        RelayFixture.FakeCaller caller = cut.connectCaller().send(RelayFixture.postRequest("/once/x", "a1", "", "q"));
        cut.neighbourLinks.deliver();
        sound.latestTargetConnection().respond(whole("200", "a1"));
        cut.neighbourLinks.deliver();

        assertBadGateway(caller);
    }

    /** Sound statuses of the protocol, also unusual ones, stay what they are. */
    @ParameterizedTest
    @MethodSource("soundStatuses")
    void soundStatusIsPassedOn(String status) {
        relay.withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.postRequest("/once/x", "a1", "", "q"));
        relay.latestTargetConnection().respond(whole(status, "a1"));

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 " + status + " "));
    }

    static Stream<String> soundStatuses() {
        return Stream.of("200", "201", "299", "300", "404", "418", "499", "500", "599");
    }
}
