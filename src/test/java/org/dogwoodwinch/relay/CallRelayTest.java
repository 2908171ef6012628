package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallRelayTest {

    private final RelayFixture relay =
            new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");

    @Test
    void successIsForwardedUnchangedAndConnectionKeptAlive() {
        RelayFixture.FakeCaller caller =
                relay.connectCaller().send(RelayFixture.postRequest("/once/a?q=1", "a1", "X: y\r\n", "hello"));
        String forwarded = relay.latestTargetConnection().takeReceived();
        assertTrue(forwarded.startsWith("POST /once/a?q=1 HTTP/1.1\r\n"), forwarded);
        assertTrue(forwarded.contains("X: y\r\n") && forwarded.endsWith("\r\n\r\nhello"), forwarded);
        assertTrue(
                forwarded.contains(
                        "expect-instance: " + relay.latestTargetConnection().targetId()),
                forwarded);
        assertTrue(forwarded.contains("deadline-ms: 800"), forwarded);

        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "one"));
        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 200 OK\r\n") && response.endsWith("one"), response);
        assertTrue(response.contains("Server-Stamp: s-a1"), response);

        assertTrue(relay.latestTargetConnection().isOpen());
    }

    /**
     * Failure: a forwarded control header would give a caller access to the KV cache of other requests, in any letter
     * case.
     */
    @Test
    void controlHeadersFromCallerAreDropped() {
        relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/once/a",
                        "a1",
                        String.join(
                                "\r\n",
                                "KV-FROM: 10.0.0.9:80/x",
                                "kv-hold: h",
                                "Pin-Ms: 1",
                                "Kv-Backup: b",
                                "Kv-Fetch: c",
                                "Stage: prefill",
                                "Request-Priority: 0",
                                "Expect-Instance: other",
                                "Expect-Version: 3",
                                "Connection: X-Secret, Request-Id",
                                "X-Secret: s",
                                "Keep-Alive: timeout=9",
                                "TE: trailers",
                                "Upgrade: h2c",
                                ""),
                        "hello"));

        String forwarded = relay.latestTargetConnection().takeReceived().toLowerCase(Locale.ROOT);
        for (String name : List.of(
                "kv-from",
                "kv-hold",
                "pin-ms",
                "kv-backup",
                "kv-fetch",
                "stage:",
                "request-priority",
                "expect-version",
                "x-secret",
                "keep-alive",
                "te:",
                "upgrade",
                "connection")) {
            assertFalse(forwarded.contains("\r\n" + name), name + " in " + forwarded);
        }
        assertTrue(forwarded.contains("request-id: a1"), forwarded);
        assertTrue(
                forwarded.contains(
                        "expect-instance: " + relay.latestTargetConnection().targetId()),
                forwarded);
    }

    /** Failure: a target sends a second response to an earlier call, and the next caller on the connection gets it. */
    @Test
    void responseToAnotherCallIsSkipped() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));

        relay.latestTargetConnection().respond(RelayFixture.successResponse("zz", "stranger"));
        assertEquals("", caller.takeReceived());
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "own"));

        String response = caller.takeReceived();
        assertTrue(response.endsWith("own") && !response.contains("stranger"), response);
    }

    /** Surplus bytes match no request: kept open, the connection would give them to the next call as its response. */
    @Test
    void bytesAfterResponseCloseConnection() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();

        first.respond(RelayFixture.successResponse("a1", "one") + RelayFixture.successResponse("a1", "again"));

        assertTrue(caller.takeReceived().endsWith("one"));
        assertFalse(first.isOpen());
    }

    @Test
    void bytesOnIdleConnectionCloseIt() {
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        first.respond(RelayFixture.successResponse("a1", "one"));
        assertTrue(first.isOpen());

        first.respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");

        assertFalse(first.isOpen());
    }

    /** The call may have run and no valid response came: a call that must run once gets 502 and is not retried. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 503 Busy\r\nRequest-Id: a1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 429 Many\r\nRequest-Id: a1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 408 Late\r\nRequest-Id: a1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "no answer at all\r\n\r\n",
                "HTTP/1.1 200 OK\r\nRequest-Id: zz\r\nServer-Stamp: s\r\n\r\nunframed",
            })
    void unverifiableResponseGetsBadGatewayWithoutRetry(String rawResponse) {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));

        relay.latestTargetConnection().respond(rawResponse);

        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        assertFalse(response.contains("Server-Stamp"), response);
        assertEquals(1, relay.targetConnections.size());
    }

    /**
     * Failure: the target closes before Content-Length is reached. A call that must run once gets 502; a repeatable one
     * is retried on the second target.
     */
    @Test
    void truncatedResponseIsNeverForwardedAsComplete() {
        RelayFixture.FakeCaller onceCaller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection()
                .respond("HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf");
        relay.latestTargetConnection().close();
        assertTrue(onceCaller.takeReceived().startsWith("HTTP/1.1 502 "));

        RelayFixture.FakeCaller repeatableCaller = relay.connectCaller().send(RelayFixture.getRequest("/safe/b", "b2"));
        String firstTargetId = relay.latestTargetConnection().targetId();
        relay.latestTargetConnection()
                .respond("HTTP/1.1 200 OK\r\nRequest-Id: b2\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf");
        relay.latestTargetConnection().close();
        assertFalse(firstTargetId.equals(relay.latestTargetConnection().targetId()));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("b2", "whole"));
        assertTrue(repeatableCaller.takeReceived().endsWith("whole"));
    }

    /** Such a response ends with its connection: it is complete after a clean close and truncated after a reset. */
    @Test
    void responseWithoutLengthIsCompleteOnlyAfterCleanClose() {
        String head = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\n\r\n";
        RelayFixture.FakeCaller callerOfClosed = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection().respond(head + "all of it");
        relay.latestTargetConnection().close();
        assertTrue(callerOfClosed.takeReceived().endsWith("all of it"));

        RelayFixture.FakeCaller callerOfReset = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection().respond(head + "all of it");
        relay.latestTargetConnection().reset();
        assertTrue(callerOfReset.takeReceived().startsWith("HTTP/1.1 502 "));
    }

    /**
     * Part of the stream was forwarded, so the caller must be able to detect the truncation: the final chunk is
     * missing.
     */
    @Test
    void truncatedStreamEndsWithoutFinalChunk() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "a1"));
        relay.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n"));
        assertTrue(caller.takeReceived().contains("data: x"));

        relay.latestTargetConnection().close();

        assertFalse(caller.takeReceived().contains("0\r\n\r\n"));
        assertTrue(caller.isClosed());
        assertEquals(1, relay.targetConnections.size());
    }

    /**
     * Failure: a stream cut within an event. The caller gets each complete event once and the head of the first
     * response only.
     */
    @Test
    void resumableStreamContinuesOnAnotherTargetAfterLastCompleteEvent() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a1"));
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        first.respond(RelayFixture.streamResponseHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\nid: 2\nda"));
        first.close();

        RelayFixture.FakeTargetConnection second = relay.latestTargetConnection();
        assertFalse(first.targetId().equals(second.targetId()));
        String resumedRequest = second.takeReceived();
        assertTrue(resumedRequest.contains("last-event-id: 1"), resumedRequest);
        second.respond(RelayFixture.streamResponseHead("a1") + RelayFixture.chunk("id: 2\ndata: y\n\n") + "0\r\n\r\n");

        String response = caller.takeReceived();
        assertEquals(1, response.split("HTTP/1.1 200", -1).length - 1, response);
        assertTrue(response.contains("id: 1\ndata: x\n\n") && response.contains("id: 2\ndata: y\n\n"), response);
        assertEquals(1, response.split("id: 2", -1).length - 1, response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
    }

    /** Failure: a target that does not know how to go on begins anew, and the caller gets events twice. */
    @Test
    void eventsThatWerePassedOnAreNotPassedOnAgain() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a1"));
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        first.respond(
                RelayFixture.streamResponseHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\nid: 2\ndata: y\n\n"));
        first.close();
        RelayFixture.FakeTargetConnection second = relay.latestTargetConnection();
        second.respond(RelayFixture.streamResponseHead("a1")
                + RelayFixture.chunk("id: 1\ndata: x\n\nid: 2\ndata: y\n\nid: 3\ndata: z\n\n"));

        String response = caller.takeReceived();
        assertEquals(1, response.split("id: 1", -1).length - 1, response);
        assertFalse(response.contains("id: 3") || response.endsWith("0\r\n\r\n"), response);
        assertTrue(caller.isClosed());
        assertFalse(second.isOpen());
    }

    /** The target states that it did not run the call, so even a call that must run once may be retried. */
    @Test
    void rejectedCallIsRetriedOnAnotherTarget() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        String firstTargetId = relay.latestTargetConnection().targetId();
        relay.latestTargetConnection()
                .respond("HTTP/1.1 503 Busy\r\nRequest-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

        assertFalse(firstTargetId.equals(relay.latestTargetConnection().targetId()));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "ran"));

        assertTrue(caller.takeReceived().endsWith("ran"));
    }

    /**
     * Another target has taken over the address; its 421 states that it did not run the call, so 503 with Retry-After
     * is safe.
     */
    @Test
    void misdirectedCallIsRefusedAsNotRun() {
        RelayFixture singleTarget = new RelayFixture().withRoutes().withPlainTarget("t1");
        RelayFixture.FakeCaller caller = singleTarget.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));

        singleTarget
                .latestTargetConnection()
                .respond("HTTP/1.1 421 Misdirected\r\nInstance-Id: t9\r\nContent-Length: 0\r\n\r\n");

        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("retry-after: 0."), response);
    }

    /** All retries of the window are spent: the caller gets 503 with Retry-After. */
    @Test
    void rejectedCallIsRefusedWhenRetryBudgetIsSpent() {
        RelayFixture noRetries =
                new RelayFixture(0).withRoutes().withPlainTarget("t1").withPlainTarget("t2");
        RelayFixture.FakeCaller caller = noRetries.connectCaller().send(RelayFixture.getRequest("/safe/a", "a1"));

        noRetries
                .latestTargetConnection()
                .respond("HTTP/1.1 503 Busy\r\nRequest-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("retry-after: 0.2"), response);
        assertEquals(1, noRetries.targetConnections.size());
    }

    /**
     * A target's 500 counts as run: a call that must run once gets it unchanged, a repeatable one gets a second
     * attempt.
     */
    @Test
    void targetErrorIsForwardedOrRetriedByRouteKind() {
        String errorResponse =
                "HTTP/1.1 500 Oops\r\nRequest-Id: a1\r\nServer-Stamp: s-f\r\nContent-Length: 3\r\n\r\nbad";
        RelayFixture.FakeCaller onceCaller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection().respond(errorResponse);
        String response = onceCaller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 500 ") && response.contains("Server-Stamp: s-f"), response);
        assertTrue(response.endsWith("bad"), response);

        RelayFixture otherRelay =
                new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");
        RelayFixture.FakeCaller repeatableCaller =
                otherRelay.connectCaller().send(RelayFixture.getRequest("/safe/a", "a1"));
        otherRelay.latestTargetConnection().respond(errorResponse);
        otherRelay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "good"));
        assertTrue(repeatableCaller.takeReceived().endsWith("good"));
    }

    /** Nothing ran, so after a bounded number of failed connects the caller gets 503 with Retry-After. */
    @Test
    void callIsRefusedAsNotRunWhenNoTargetIsReachable() {
        relay.unreachableTargetIds.add("t1");
        relay.unreachableTargetIds.add("t2");

        String response = relay.connectCaller()
                .send(RelayFixture.getRequest("/once/a", "a1"))
                .takeReceived();

        assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("retry-after: 0.2"), response);
        assertEquals(0, relay.service.openCallsCount());
    }

    /** The final response is due at the route's timeout; it is 504, which does not say whether the call ran. */
    @Test
    void callerGetsGatewayTimeoutAtRouteTimeout() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.time.advanceMillis(RelayFixture.CALL_TIMEOUT_MILLIS - 1);
        assertEquals("", caller.takeReceived());

        relay.time.advanceMillis(1);

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 504 "));
        assertFalse(relay.latestTargetConnection().isOpen());
    }

    /** The second attempt has only the time that the first one left. */
    @Test
    void eachAttemptCarriesRemainingDeadline() {
        relay.connectCaller().send(RelayFixture.postRequest("/safe/a", "a1", "Deadline-Ms: 500\r\n", "x"));
        assertTrue(relay.latestTargetConnection().takeReceived().contains("deadline-ms: 500"));
        relay.time.advanceMillis(300);

        relay.latestTargetConnection().close();
        // Runs the tasks that are deferred until all sockets were read.
        relay.time.advanceMillis(0);

        assertTrue(relay.latestTargetConnection().takeReceived().contains("deadline-ms: 200"));
    }

    /**
     * Failure: on a loaded instance the target's rejection is processed before the caller's disconnect, which is still
     * unread. Sockets are read in any order, so the retry waits until all of them were read.
     */
    @Test
    void callIsNotRetriedAfterCallerDisconnects() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.time.advanceMillis(150);
        relay.latestTargetConnection()
                .respond("HTTP/1.1 503 Busy\r\nRequest-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        caller.disconnect();
        relay.time.advanceMillis(10);

        assertEquals("", relay.latestTargetConnection().takeReceived());
    }

    /**
     * Failure: a target closes idle connections after five seconds, and a call sent at that moment may or may not have
     * run. A connection that has been idle for nearly as long is not reused.
     */
    @Test
    void connectionNearIdleTimeoutIsNotReused() {
        RelayFixture singleTarget = new RelayFixture().withRoutes().withPlainTarget("t1");
        RelayFixture.FakeCaller caller = singleTarget.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        singleTarget
                .latestTargetConnection()
                .respond(String.join(
                        "\r\n",
                        "HTTP/1.1 200 OK",
                        "Request-Id: a1",
                        "Server-Stamp: s",
                        "Keep-Alive: timeout=5",
                        "Content-Length: 0",
                        "",
                        ""));
        singleTarget.time.advanceMillis(4_100);

        caller.send(RelayFixture.getRequest("/once/b", "b2"));

        assertEquals(2, singleTarget.targetConnections.size());
        assertFalse(singleTarget.targetConnections.get(0).isOpen());
    }

    /** Running calls complete normally; a new call is refused. */
    @Test
    void drainingTargetGetsNoNewCallsAndFinishesRunningOnes() {
        RelayFixture singleTarget = new RelayFixture().withRoutes().withPlainTarget("t1");
        RelayFixture.FakeCaller runningCaller =
                singleTarget.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        singleTarget.withTarget(new Incarnation("t1", "desk", "10.0.0.1", 80, "dc-1", 6, true, Stage.WHOLE, 0));
        singleTarget.service.removeTarget("t1");

        String refused = singleTarget
                .connectCaller()
                .send(RelayFixture.getRequest("/once/b", "b2"))
                .takeReceived();
        singleTarget.latestTargetConnection().respond(RelayFixture.successResponse("a1", "finished"));

        assertTrue(refused.startsWith("HTTP/1.1 503 "), refused);
        assertTrue(runningCaller.takeReceived().endsWith("finished"));
    }

    /**
     * Failure: beyond its limit the target resets connections with calls on them. It takes 96 connections and 48
     * instances share it, so each may open two; the third call of one instance has not run and gets 503.
     */
    @Test
    void connectionLimitIsDividedAmongInstances() {
        RelayFixture sharedRelay = new RelayFixture().withRoutes().withPlainTarget("t1");
        sharedRelay.sharingInstancesCount = 48;
        sharedRelay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        sharedRelay.connectCaller().send(RelayFixture.getRequest("/once/a", "a2"));

        RelayFixture.FakeCaller thirdCaller =
                sharedRelay.connectCaller().send(RelayFixture.getRequest("/once/a", "a3"));

        assertEquals(2, sharedRelay.targetConnections.size());
        assertTrue(thirdCaller.takeReceived().startsWith("HTTP/1.1 503 "));
    }
}
