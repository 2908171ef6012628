package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerConnectionTest {

    private static final String HEAD = "POST /once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n";
    private static final String SECOND = "GET /once/smuggled HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: b2\r\n\r\n";

    private final RelayFixture relay = new RelayFixture().configured().plain("t1");

    /**
     * A caller sends a request that two readers end in two places. If it were passed on, a target that ends it elsewhere
     * would run a second request that no caller sent. So it gets 400, its connection is closed, and no target hears of
     * either request.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length: 5, 5\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length: +5\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length: -5\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length: 0x5\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length: 5 \t6\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length: 99999999999999999999\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length:\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length : 5\r\n\r\nhello" + SECOND,
                HEAD + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding: identity\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + SECOND,
                HEAD + "X: 1\r\n\tContent-Length: 5\r\n\r\nhello" + SECOND,
                HEAD + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n" + SECOND,
                HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX\r\n0\r\n\r\n" + SECOND,
                HEAD + "X: a\nContent-Length: 5\r\n\r\nhello" + SECOND,
                "POST /once/a HTTP/1.1\nHost: desk.example\nRequest-Id: a1\n\n" + SECOND,
                "POST  /once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SECOND,
                "POST /once/a b HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SECOND,
                "POST http://other/once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SECOND,
                "POST /once/a HTTP/2.0\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SECOND,
                "POST /once/a HTTP/1.1\r\nHost: desk.example\r\nHost: other\r\nRequest-Id: a1\r\n\r\n" + SECOND,
                "POST /once/a HTTP/1.1\r\nRequest-Id: a1\r\n\r\n" + SECOND,
                "CONNECT /once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SECOND,
                HEAD + "Bad Name: 1\r\n\r\n" + SECOND,
                HEAD + ": 1\r\n\r\n" + SECOND,
            })
    void whatCouldBeReadInTwoWaysIsRefusedAndReachesNoTarget(String raw) {
        RelayFixture.CallerEnd caller = relay.caller().send(raw);

        String answer = caller.received();
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        assertEquals(1, answer.split("HTTP/1.1 ", -1).length - 1, answer);
        assertEquals(0, relay.opened.size());
        assertTrue(caller.closed());
    }

    /**
     * The bytes of a second request lie inside the first one's body. They are a body and nothing else: one request goes
     * to the target, with all of its bytes.
     */
    @Test
    void aRequestInsideOfABodyIsABody() {
        relay.caller().send(RelayFixture.post("/once/a", "a1", "", SECOND));

        String received = relay.target().received();
        assertTrue(received.endsWith("\r\n\r\n" + SECOND), received);
        assertTrue(received.toLowerCase(Locale.ROOT).contains("content-length: " + SECOND.length()), received);
        assertEquals(1, relay.opened.size());
    }

    @Test
    void aBodyInChunksGoesOnWithItsLength() {
        relay.caller().send(HEAD + "Transfer-Encoding: chunked\r\n\r\n5;ext=1\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");

        String received = relay.target().received();
        assertTrue(received.endsWith("\r\n\r\nhello world"), received);
        assertTrue(received.contains("content-length: 11"), received);
        assertFalse(received.toLowerCase(Locale.ROOT).contains("transfer-encoding"), received);
    }

    @Test
    void tooLargeHeadersAndBodiesAreRefusedBeforeATargetHearsOfThem() {
        String large = "x".repeat(RelayFixture.LIMITS.maxHeaderBytes());
        assertTrue(relay.caller()
                .send("GET /safe/ HTTP/1.1\r\nX: " + large + "\r\n\r\n")
                .received()
                .startsWith("HTTP/1.1 431 "));
        assertTrue(relay.caller()
                .send("GET /safe/" + large + large + " HTTP/1.1\r\n\r\n")
                .received()
                .startsWith("HTTP/1.1 431 "));
        assertTrue(relay.caller()
                .send(HEAD + "Content-Length: 10001\r\n\r\n")
                .received()
                .startsWith("HTTP/1.1 413 "));
        assertTrue(relay.caller()
                .send(HEAD + "Transfer-Encoding: chunked\r\n\r\n2711\r\n" + "x".repeat(10_001))
                .received()
                .startsWith("HTTP/1.1 413 "));
        assertEquals(0, relay.opened.size());
    }

    /** The caller sends half of a head and no more: it gets 408 after the configuration's time, not run. */
    @Test
    void aSlowHeadIsRefusedAfterItsTime() {
        RelayFixture.CallerEnd caller = relay.caller().send("GET /safe/ HTTP/1.1\r\nHost: desk");
        relay.time.advanceMillis(RelayFixture.LIMITS.headerTimeoutMillis() - 1);
        assertEquals("", caller.received());

        relay.time.advanceMillis(500);

        assertTrue(caller.received().startsWith("HTTP/1.1 408 "));
        assertTrue(caller.closed());
    }

    /** The second request of a connection has a head of its own time, and a body that takes long is no slow head. */
    @Test
    void theTimeOfAHeadBeginsWithItsOwnFirstByte() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/safe/a", "a1"));
        relay.target().answer(RelayFixture.success("a1", "one"));
        relay.time.advanceMillis(10_000);
        caller.received();

        caller.send(HEAD + "Content-Length: 5\r\n\r\nhel");
        relay.time.advanceMillis(5_000);

        assertEquals("", caller.received());
        assertFalse(caller.closedAtOnce());
    }

    @Test
    void anIdleConnectionIsClosedAfterItsTimeAndNotBefore() {
        RelayFixture.CallerEnd caller = relay.caller();
        relay.time.advanceMillis(RelayFixture.LIMITS.idleTimeoutMillis() * 4 / 5);
        assertFalse(caller.closedAtOnce());

        relay.time.advanceMillis(RelayFixture.LIMITS.idleTimeoutMillis());

        assertTrue(caller.closed());
    }

    /**
     * The caller sends three requests in one write. Each is served in its turn: the second goes to a target only when the
     * first is answered, and the answers come in the order of the requests.
     */
    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() {
        RelayFixture.CallerEnd caller = relay.caller()
                .send(RelayFixture.get("/once/a", "a1")
                        + RelayFixture.post("/once/b", "b2", "", "body")
                        + RelayFixture.get("/nowhere/", "c3"));
        assertEquals(1, relay.opened.size());
        assertTrue(relay.target().received().startsWith("GET /once/a "));

        relay.target().answer(RelayFixture.success("a1", "one"));
        assertTrue(caller.received().endsWith("one"));
        assertTrue(relay.target().received().startsWith("POST /once/b "));
        relay.target().answer(RelayFixture.success("b2", "two"));

        String rest = caller.received();
        assertTrue(rest.contains("two") && rest.indexOf("two") < rest.indexOf("HTTP/1.1 404 "), rest);
        assertEquals(1, relay.opened.size());
    }

    /** A caller that leaves wants nothing any more: the target sees its connection close in the same moment. */
    @Test
    void aCallerThatLeavesTakesItsWorkWithIt() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));

        caller.leave();

        assertFalse(relay.target().open());
        assertEquals(0, relay.service.openCount());
        assertEquals(0, relay.loads.totalAt("t1").callsCount());
    }

    /** The process stops: calls under way are answered whole, and each answer asks the caller to go elsewhere. */
    @Test
    void whileStoppingAnswersAskForOtherConnections() {
        RelayFixture.CallerEnd caller = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        relay.service.leave();

        relay.target().answer(RelayFixture.success("a1", "whole"));

        String answer = caller.received();
        assertTrue(answer.contains("connection: close") && answer.endsWith("whole"), answer);
        assertTrue(caller.closed());
    }

    /**
     * The process is about to end, and a caller sends a long call on its kept connection. Taken, it would be cut in the
     * middle of its run; so it gets 503 with when to come back, and nothing reaches a target. What was taken before is
     * answered whole.
     */
    @Test
    void whatComesShortlyBeforeTheEndIsSentElsewhere() {
        RelayFixture.CallerEnd early = relay.caller().send(RelayFixture.get("/once/a", "a1"));
        RelayFixture.CallerEnd late = relay.caller().send("GET /once/b HTTP/1.1\r\n");
        relay.service.leave();
        relay.service.stopTaking();

        late.send("Host: desk.example\r\nRequest-Id: b2\r\n\r\n");
        relay.target().answer(RelayFixture.success("a1", "whole"));

        String refused = late.received();
        assertTrue(refused.startsWith("HTTP/1.1 503 ") && refused.contains("retry-after: "), refused);
        assertTrue(early.received().endsWith("whole"));
        assertEquals(1, relay.opened.size());
    }

    /**
     * Many callers send large bodies at once, each within its limit. Beyond the bound of all bodies the next is told to
     * come back, and what the others held is free again once they are answered.
     */
    @Test
    void largeBodiesTogetherAreBoundedAndTheRestIsToldToComeBack() {
        String body = "x".repeat(10_000);
        int fitting = 16_777_216 / 10_000;
        List<RelayFixture.CallerEnd> callers = new ArrayList<>();
        for (int i = 0; i < fitting; i++) {
            RelayFixture.CallerEnd caller = relay.caller();
            caller.send(HEAD + "Content-Length: 10001\r\n\r\n".replace("10001", "10000") + body.substring(1));
            callers.add(caller);
        }

        String refused = relay.caller()
                .send(RelayFixture.post("/once/b", "b2", "", body))
                .received();
        assertTrue(refused.startsWith("HTTP/1.1 503 "), refused);

        callers.forEach(RelayFixture.CallerEnd::leave);
        relay.caller().send(RelayFixture.post("/once/c", "c3", "", body));
        assertEquals(1, relay.opened.size());
    }

    @Test
    void aCallerThatAsksBeforeItsBodyIsToldToGoOn() {
        RelayFixture.CallerEnd caller = relay.caller().send(HEAD + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
        assertTrue(caller.received().startsWith("HTTP/1.1 100 "));

        caller.send("hello");

        String received = relay.target().received();
        assertTrue(received.endsWith("hello"), received);
        assertFalse(received.toLowerCase(Locale.ROOT).contains("expect:"), received);
    }

    @Test
    void beforeAConfigurationCallersAreToldToComeBack() {
        RelayFixture fresh = new RelayFixture();

        String answer = fresh.caller().send(RelayFixture.get("/safe/a", "a1")).received();

        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(answer.contains("retry-after: 0.2"), answer);
    }
}
