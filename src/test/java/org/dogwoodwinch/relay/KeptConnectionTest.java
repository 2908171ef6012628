package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which calls share a connection to a target. */
class KeptConnectionTest {

    private static final String OTHERS_ANSWER = RelayFixture.successResponse("a0", "late");

    private final RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");

    private String call(String id, String answer) {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", id));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        assertTrue(target.takeReceived().contains("Request-Id: " + id + "\r\n"), id);
        target.respond(answer);
        return caller.takeReceived();
    }

    private String callWell(String id) {
        return call(id, RelayFixture.successResponse(id, "of " + id));
    }

    @Test
    void callsToSoundTargetShareItsConnection() {
        for (int i = 0; i < 300; i++) {
            assertTrue(callWell("a" + i).endsWith("of a" + i));
        }
        assertEquals(1, relay.targetConnections.size());
    }

    /** Failure: a second answer to the first send of a call is taken for the answer to a later send with the same id. */
    @Test
    void callWithTheSameIdIsSentOnAnotherConnection() {
        callWell("a1");
        callWell("a2");
        callWell("a1");
        assertEquals(2, relay.targetConnections.size());
        assertTrue(relay.targetConnections.get(0).isOpen());
    }

    /** Failure: the beginning of a second answer stays in the decoder and becomes a part of the next answer. */
    @ParameterizedTest
    @ValueSource(
            strings = {"H", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nDate: x\r\n", "\r\n", "x"})
    void bytesBehindAnAnswerInOneReadEndTheConnection(String more) {
        String received = call("a1", RelayFixture.successResponse("a1", "one") + more);

        assertTrue(received.endsWith("one"), received);
        assertFalse(relay.targetConnections.get(0).isOpen());
        assertTrue(callWell("a2").endsWith("of a2"));
    }

    /** Failure: a call is lost with the part of a second answer that follows the one that was skipped. */
    @Test
    void connectionIsNotKeptAfterAnAnswerOfAnotherCall() {
        callWell("a0");
        String received = call("a1", OTHERS_ANSWER + RelayFixture.successResponse("a1", "one"));

        assertTrue(received.endsWith("one"), received);
        assertFalse(relay.targetConnections.get(0).isOpen());
    }

    @Test
    void connectionsToTargetThatAnsweredTwiceCarryOneCallUntilSomeTimeHasPassed() {
        callWell("a0");
        relay.latestTargetConnection().respond(OTHERS_ANSWER);
        callWell("a1");
        callWell("a2");
        assertEquals(3, relay.targetConnections.size());
        assertFalse(relay.targetConnections.get(1).isOpen());

        relay.time.advanceMillis(30_000);
        callWell("a3");
        callWell("a4");
        assertEquals(4, relay.targetConnections.size());
    }

    /** Failure: the later answers of a target that names no call cannot be told apart from second ones. */
    @Test
    void connectionIsNotKeptAfterAnAnswerWithoutId() {
        call("a1", "HTTP/1.1 500 No\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n");

        assertFalse(relay.targetConnections.get(0).isOpen());
    }

    /** Failure: a call whose own answer was taken for the rest of a skipped one waits until its deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"Request-Id: %s\r\n", "Request-Id:%s\r\n", "Request-Id: %s \r\n", "request-id: %s"})
    void callIsAnsweredAtOnceIfItsOwnAnswerIsReadAsTheRestOfAnother(String field) {
        String id = "0123456789abcdef";
        callWell("a0");
        String ownHead = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n" + String.format(field, id);
        String cutHead = "HTTP/1.1 200 OK\r\nRequest-Id: a0\r\nContent-Length: " + ownHead.length() + "\r\n\r\n";

        assertTrue(call(id, cutHead + ownHead + "\r\n\r\n").startsWith("HTTP/1.1 502 "));
    }

    /** Failure: a head that switches protocols ends the decoding, and the caller waits until its deadline. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "websocket"})
    void callIsAnsweredAtOnceAfterAHeadThatSwitchesProtocols(String protocol) {
        callWell("a0");
        String head = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: " + protocol + "\r\n\r\n";

        assertTrue(call("a1", head + RelayFixture.successResponse("a1", "one")).startsWith("HTTP/1.1 502 "));
    }

    /** Failure: a call counts as sent on a connection that has closed before the write, and waits until its deadline. */
    @Test
    void callIsSentElsewhereIfItsConnectionClosesBeforeTheWrite() {
        relay.withPlainTarget("t2");
        RelayFixture.FakeCaller first = relay.connectCaller().send(RelayFixture.getRequest("/safe/a", "a1"));
        RelayFixture.FakeCaller second = relay.connectCaller().send(RelayFixture.getRequest("/safe/a", "a2"));
        relay.targetConnections.get(0).respond(RelayFixture.successResponse("a1", "one"));
        relay.targetConnections.get(1).respond(RelayFixture.successResponse("a2", "two"));
        assertTrue(first.takeReceived().endsWith("one") && second.takeReceived().endsWith("two"));
        relay.targetConnections.forEach(RelayFixture.FakeTargetConnection::takeReceived);

        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/safe/a", "a3"));
        boolean isFirst = relay.targetConnections.get(0).takeReceived().contains("a3");
        relay.time.advanceMillis(150);
        relay.targetConnections
                .get(isFirst ? 0 : 1)
                .respond("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: a3\r\nContent-Length: 0\r\n\r\n");
        relay.targetConnections.get(isFirst ? 1 : 0).close();
        relay.time.advanceMillis(1);

        assertEquals(3, relay.targetConnections.size());
        assertTrue(relay.latestTargetConnection().takeReceived().contains("a3"));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a3", "three"));
        assertTrue(caller.takeReceived().endsWith("three"));
    }
}
