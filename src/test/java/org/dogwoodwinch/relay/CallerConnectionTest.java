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

    private static final String POST_HEAD = "POST /once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n";
    private static final String SMUGGLED_REQUEST =
            "GET /once/smuggled HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: b2\r\n\r\n";

    private final RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");

    /**
     * Failure: request smuggling. Forwarded to a target that ends the first request at another byte, the bytes would
     * run as a second request that no caller sent. The caller gets 400, its connection is closed and neither request is
     * forwarded.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                POST_HEAD + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length: 5, 5\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length: +5\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length: -5\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length: 0x5\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length: 5 \t6\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length: 99999999999999999999\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length:\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length : 5\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                        + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding: identity\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "X: 1\r\n\tContent-Length: 5\r\n\r\nhello" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloXX\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "X: a\nContent-Length: 5\r\n\r\nhello" + SMUGGLED_REQUEST,
                "POST /once/a HTTP/1.1\nHost: desk.example\nRequest-Id: a1\n\n" + SMUGGLED_REQUEST,
                "POST  /once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SMUGGLED_REQUEST,
                "POST /once/a b HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SMUGGLED_REQUEST,
                "POST http://other/once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SMUGGLED_REQUEST,
                "POST /once/a HTTP/2.0\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SMUGGLED_REQUEST,
                "POST /once/a HTTP/1.1\r\nHost: desk.example\r\nHost: other\r\nRequest-Id: a1\r\n\r\n"
                        + SMUGGLED_REQUEST,
                "POST /once/a HTTP/1.1\r\nRequest-Id: a1\r\n\r\n" + SMUGGLED_REQUEST,
                "CONNECT /once/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: a1\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + "Bad Name: 1\r\n\r\n" + SMUGGLED_REQUEST,
                POST_HEAD + ": 1\r\n\r\n" + SMUGGLED_REQUEST,
            })
    void ambiguousRequestIsRefusedAndNotForwarded(String rawRequest) {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(rawRequest);

        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("connection: close"), response);
        assertEquals(1, response.split("HTTP/1.1 ", -1).length - 1, response);
        assertEquals(0, relay.targetConnections.size());
        assertTrue(caller.isClosedAfterOneSecond());
    }

    /** Exactly one request reaches the target, with all bytes of its body. */
    @Test
    void requestBytesInsideBodyAreForwardedAsBody() {
        relay.connectCaller().send(RelayFixture.postRequest("/once/a", "a1", "", SMUGGLED_REQUEST));

        String forwarded = relay.latestTargetConnection().takeReceived();
        assertTrue(forwarded.endsWith("\r\n\r\n" + SMUGGLED_REQUEST), forwarded);
        assertTrue(
                forwarded.toLowerCase(Locale.ROOT).contains("content-length: " + SMUGGLED_REQUEST.length()), forwarded);
        assertEquals(1, relay.targetConnections.size());
    }

    @Test
    void chunkedBodyIsForwardedWithContentLength() {
        relay.connectCaller()
                .send(POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n5;ext=1\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");

        String forwarded = relay.latestTargetConnection().takeReceived();
        assertTrue(forwarded.endsWith("\r\n\r\nhello world"), forwarded);
        assertTrue(forwarded.contains("content-length: 11"), forwarded);
        assertFalse(forwarded.toLowerCase(Locale.ROOT).contains("transfer-encoding"), forwarded);
    }

    @Test
    void oversizedHeadersAndBodiesAreRefusedBeforeForwarding() {
        String oversizedValue = "x".repeat(RelayFixture.CALLER_LIMITS.maxHeaderBytes());
        assertTrue(relay.connectCaller()
                .send("GET /safe/ HTTP/1.1\r\nX: " + oversizedValue + "\r\n\r\n")
                .takeReceived()
                .startsWith("HTTP/1.1 431 "));
        assertTrue(relay.connectCaller()
                .send("GET /safe/" + oversizedValue + oversizedValue + " HTTP/1.1\r\n\r\n")
                .takeReceived()
                .startsWith("HTTP/1.1 431 "));
        assertTrue(relay.connectCaller()
                .send(POST_HEAD + "Content-Length: 10001\r\n\r\n")
                .takeReceived()
                .startsWith("HTTP/1.1 413 "));
        assertTrue(relay.connectCaller()
                .send(POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n2711\r\n" + "x".repeat(10_001))
                .takeReceived()
                .startsWith("HTTP/1.1 413 "));
        assertEquals(0, relay.targetConnections.size());
    }

    /** The request is incomplete, so it gets 408 after the configured header timeout and does not run. */
    @Test
    void slowHeadIsRefusedAfterHeaderTimeout() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send("GET /safe/ HTTP/1.1\r\nHost: desk");
        relay.time.advanceMillis(RelayFixture.CALLER_LIMITS.headerTimeoutMillis() - 1);
        assertEquals("", caller.takeReceived());

        relay.time.advanceMillis(500);

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 408 "));
        assertTrue(caller.isClosedAfterOneSecond());
    }

    /** The second request on a connection has its own header timeout, and a slow body does not count as a slow head. */
    @Test
    void headerTimeoutStartsAtFirstByteOfEachHead() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/safe/a", "a1"));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "one"));
        relay.time.advanceMillis(10_000);
        caller.takeReceived();

        caller.send(POST_HEAD + "Content-Length: 5\r\n\r\nhel");
        relay.time.advanceMillis(5_000);

        assertEquals("", caller.takeReceived());
        assertFalse(caller.isClosed());
    }

    @Test
    void idleConnectionIsClosedOnlyAfterIdleTimeout() {
        RelayFixture.FakeCaller caller = relay.connectCaller();
        relay.time.advanceMillis(RelayFixture.CALLER_LIMITS.idleTimeoutMillis() * 4 / 5);
        assertFalse(caller.isClosed());

        relay.time.advanceMillis(RelayFixture.CALLER_LIMITS.idleTimeoutMillis());

        assertTrue(caller.isClosedAfterOneSecond());
    }

    /**
     * The second request is forwarded only after the first one is answered, and responses keep the order of requests.
     */
    @Test
    void pipelinedRequestsAreAnsweredInOrder() {
        RelayFixture.FakeCaller caller = relay.connectCaller()
                .send(RelayFixture.getRequest("/once/a", "a1")
                        + RelayFixture.postRequest("/once/b", "b2", "", "body")
                        + RelayFixture.getRequest("/nowhere/", "c3"));
        assertEquals(1, relay.targetConnections.size());
        assertTrue(relay.latestTargetConnection().takeReceived().startsWith("GET /once/a "));

        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "one"));
        assertTrue(caller.takeReceived().endsWith("one"));
        assertTrue(relay.latestTargetConnection().takeReceived().startsWith("POST /once/b "));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("b2", "two"));

        String remainingResponses = caller.takeReceived();
        assertTrue(
                remainingResponses.contains("two")
                        && remainingResponses.indexOf("two") < remainingResponses.indexOf("HTTP/1.1 404 "),
                remainingResponses);
        assertEquals(1, relay.targetConnections.size());
    }

    /** Failure: the target would go on working for a caller that has disconnected. Its connection is closed at once. */
    @Test
    void callerDisconnectCancelsItsCall() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));

        caller.disconnect();

        assertFalse(relay.latestTargetConnection().isOpen());
        assertEquals(0, relay.service.openCallsCount());
        assertEquals(0, relay.loads.totalAt("t1").callsCount());
    }

    /** The process stops: running calls get complete responses, each with Connection: close. */
    @Test
    void responsesDuringShutdownCloseTheConnection() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.service.startDraining();

        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "whole"));

        String response = caller.takeReceived();
        assertTrue(response.contains("connection: close") && response.endsWith("whole"), response);
        assertTrue(caller.isClosedAfterOneSecond());
    }

    /**
     * Failure: a long call that arrives on a keep-alive connection just before exit would be cut while it runs. It gets 503
     * with Retry-After and is not forwarded; calls accepted before get complete responses.
     */
    @Test
    void requestsShortlyBeforeExitAreRefused() {
        RelayFixture.FakeCaller acceptedCaller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        RelayFixture.FakeCaller refusedCaller = relay.connectCaller().send("GET /once/b HTTP/1.1\r\n");
        relay.service.startDraining();
        relay.service.stopAccepting();

        refusedCaller.send("Host: desk.example\r\nRequest-Id: b2\r\n\r\n");
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "whole"));

        String refusal = refusedCaller.takeReceived();
        assertTrue(refusal.startsWith("HTTP/1.1 503 ") && refusal.contains("retry-after: "), refusal);
        assertTrue(acceptedCaller.takeReceived().endsWith("whole"));
        assertEquals(1, relay.targetConnections.size());
    }

    /**
     * Many large bodies arrive at once, each within its own limit. Beyond the total bound the next request gets 503,
     * and the memory of the others is free again once their calls end.
     */
    @Test
    void totalBodyBytesAreBoundedAndExcessIsRefused() {
        String body = "x".repeat(10_000);
        int acceptedCount = 16_777_216 / 10_000;
        List<RelayFixture.FakeCaller> callers = new ArrayList<>();
        for (int i = 0; i < acceptedCount; i++) {
            RelayFixture.FakeCaller caller = relay.connectCaller();
            caller.send(POST_HEAD + "Content-Length: 10001\r\n\r\n".replace("10001", "10000") + body.substring(1));
            callers.add(caller);
        }

        String refusal = relay.connectCaller()
                .send(RelayFixture.postRequest("/once/b", "b2", "", body))
                .takeReceived();
        assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);

        callers.forEach(RelayFixture.FakeCaller::disconnect);
        relay.connectCaller().send(RelayFixture.postRequest("/once/c", "c3", "", body));
        assertEquals(1, relay.targetConnections.size());
    }

    @Test
    void expectContinueIsAnsweredBeforeBody() {
        RelayFixture.FakeCaller caller =
                relay.connectCaller().send(POST_HEAD + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 100 "));

        caller.send("hello");

        String forwarded = relay.latestTargetConnection().takeReceived();
        assertTrue(forwarded.endsWith("hello"), forwarded);
        assertFalse(forwarded.toLowerCase(Locale.ROOT).contains("expect:"), forwarded);
    }

    @Test
    void requestsBeforeConfigurationAreRefusedWithRetryAfter() {
        RelayFixture unconfigured = new RelayFixture();

        String response = unconfigured
                .connectCaller()
                .send(RelayFixture.getRequest("/safe/a", "a1"))
                .takeReceived();

        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.contains("retry-after: 0.2"), response);
    }
}
