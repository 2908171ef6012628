package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeadRequestTest {

    private static String headRequest(String path, String id) {
        return RelayFixture.getRequest(path, id).replaceFirst("GET", "HEAD");
    }

    /** Failure: bytes that follow the response to a HEAD request are read as the beginning of the caller's next response. */
    @ParameterizedTest
    @ValueSource(strings = {"/unknown/a", "/once/a", "/stream/a"})
    void noBytesFollowTheHeadOfAResponseToAHeadRequest(String path) {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(headRequest(path, "a1"));
        if (!relay.targetConnections.isEmpty()) {
            relay.latestTargetConnection().respond("no response\r\n\r\n");
        }

        assertEndsWithHead(caller.takeReceived());
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/a", "/stream/a"})
    void noLastChunkFollowsTheHeadOfASuccess(String path) {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(headRequest(path, "a1"));
        relay.latestTargetConnection().respond(RelayFixture.streamResponseHead("a1"));

        String received = caller.takeReceived();
        assertTrue(received.startsWith("HTTP/1.1 200 "), received);
        assertEndsWithHead(received);
        assertFalse(caller.isClosed());
    }

    private static void assertEndsWithHead(String received) {
        assertTrue(received.startsWith("HTTP/1.1 "), received);
        assertTrue(received.indexOf("\r\n\r\n") == received.length() - 4, received);
    }
}
