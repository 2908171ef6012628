package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays a target that sends bytes that are no answer, without end. */
class EndlessBytesTest {

    /** More than any limit of what is received beside an answer, but for control calls. */
    private static final int ENDLESS_BYTES = 2_000_000;

    private static final String OTHERS_ANSWER =
            "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNSTAMPED_ANSWER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final RelayFixture relay =
            new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");

    /** Sends pieces until the connection is closed, and returns the number of bytes that were taken. */
    private static int sendEndlessly(RelayFixture.FakeTargetConnection target, String piece) {
        String pieces = piece.repeat(Math.max(1, 1_000 / piece.length()));
        int sent = 0;
        while (target.isOpen() && sent < ENDLESS_BYTES) {
            target.respond(pieces);
            sent += pieces.length();
        }
        return sent;
    }

    /** Failure: heads, an answer to another call or a body without a stamp that never end hold the call until its time-out. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n",
                "\r\n",
                "xxxxxxxxxxxxxxxx",
                "X-A: b\r\n",
                OTHERS_ANSWER + "|10\r\n0123456789abcdef\r\n",
                OTHERS_ANSWER + "|1\r\n0\r\n",
                UNSTAMPED_ANSWER + "|10\r\n0123456789abcdef\r\n",
            })
    void bytesWithoutAnswerEndTheirConnectionAndTheTargetIsLeftOut(String begun) {
        for (String path : new String[] {"/safe/a", "/stream/a"}) {
            RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest(path, "a1"));
            RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
            int split = begun.indexOf('|');
            target.respond(split < 0 ? "" : begun.substring(0, split));

            int taken = sendEndlessly(target, begun.substring(split + 1));

            assertTrue(taken < 1_500_000, path + ": " + taken + " bytes taken");
            assertFalse(target.isOpen(), path);
            String received = caller.takeReceived();
            assertTrue(received.isEmpty() || received.startsWith("HTTP/1.1 502 "), received);
            caller.disconnect();
        }
    }

    /** Failure: a target that fails fast by endless bytes looks idle and attracts the calls of all. */
    @Test
    void targetThatSendsEndlessBytesIsEjected() {
        relay.connectCaller().send(RelayFixture.getRequest("/safe/a", "a1"));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        sendEndlessly(target, "HTTP/1.1 100 Continue\r\n\r\n");

        assertTrue(relay.health.isEjected(target.targetId()));
    }

    /** Failure: control characters on an idle connection are read without end, as the decoder skips them silently. */
    @Test
    void bytesOnIdleConnectionCloseIt() {
        relay.connectCaller().send(RelayFixture.getRequest("/safe/a", "a1"));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        target.respond(RelayFixture.successResponse("a1", "ok"));
        assertTrue(target.isOpen());

        assertTrue(sendEndlessly(target, "\r\n") <= 1_000);
        assertFalse(target.isOpen());
    }

    /** Failure: the answer to a prefill never ends, and what exceeds its limit is thrown away and read on. */
    @Test
    void endlessAnswerToPrefillEndsItsConnection() {
        RelayFixture model = RemotePrefillTest.disaggregatedRelay();
        model.connectCaller().send(RemotePrefillTest.modelRequest("a1"));
        RelayFixture.FakeTargetConnection prefill = model.latestTargetConnection();
        assertEquals("p1", prefill.targetId());
        prefill.respond(RelayFixture.streamResponseHead("a1"));

        int taken = sendEndlessly(prefill, "10\r\n0123456789abcdef\r\n");

        assertTrue(taken <= 2 * ReceiveLimits.MAX_PREFILL_BODY_BYTES, taken + " bytes taken");
        assertEquals("d1", model.latestTargetConnection().targetId());
        assertTrue(model.health.isEjected("p1"));
    }

    /** Failure: a limit for endless bytes cuts a sound answer that is long. */
    @Test
    void soundAnswerHasNoLimit() {
        for (String path : new String[] {"/safe/a", "/stream/a"}) {
            RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest(path, "a1"));
            RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
            target.respond(RelayFixture.streamResponseHead("a1"));
            String piece = RelayFixture.chunk("data: 0123456789abcdef\n\n");
            for (int sent = 0; sent < ENDLESS_BYTES; sent += 1_000) {
                target.respond(piece.repeat(1_000 / piece.length()));
                caller.takeReceived();
            }
            target.respond("0\r\n\r\n");

            assertTrue(caller.takeReceived().endsWith("0\r\n\r\n"), path);
        }
    }
}
