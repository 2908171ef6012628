package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against refusing sound answers, and against giving up the connections on which they arrive. */
class SoundAnswerTest {

    private static final List<Integer> READ_BYTES = List.of(1, 2, 3, 7, Integer.MAX_VALUE);
    private static final int MAX_EARLIER_CALLS = 2;

    /** The bytes that arrive in small reads; longer answers arrive in larger reads from there on. */
    private static final int SMALL_READS_END = 2_000;

    private static final int LARGER_READ_FACTOR = 200;

    private static RelayFixture relayWithCalls(int callsCount) {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        for (int i = 0; i < callsCount; i++) {
            assertCallSucceeds(relay, "e" + i);
        }
        return relay;
    }

    private static void assertCallSucceeds(RelayFixture relay, String id) {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", id));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        assertTrue(target.takeReceived().contains("Request-Id: " + id + "\r\n"), id);
        target.respond(RelayFixture.successResponse(id, "plain"));
        assertEquals("plain", ReceivedAnswer.parse(caller.takeReceived(), "GET").body());
    }

    private static void respondInReads(RelayFixture.FakeTargetConnection target, String text, int readBytes) {
        int at = 0;
        while (at < text.length()) {
            long size = at < SMALL_READS_END ? readBytes : (long) readBytes * LARGER_READ_FACTOR;
            int end = (int) Math.min(text.length(), at + size);
            target.respond(text.substring(at, end));
            at = end;
        }
    }

    /** Sends a call and its answer, and returns what the caller received. */
    private static ReceivedAnswer receive(RelayFixture relay, SoundAnswer answer, int readBytes, boolean isClosed) {
        RelayFixture.FakeCaller caller = relay.connectCaller()
                .send(RelayFixture.getRequest(answer.path(), "a1").replaceFirst("GET", answer.method()));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        assertTrue(target.takeReceived().contains("Request-Id: a1\r\n"));
        respondInReads(target, answer.textFor("a1"), readBytes);
        if (isClosed) {
            target.close();
        }
        return ReceivedAnswer.parse(caller.takeReceived(), answer.method());
    }

    private static void assertReceived(SoundAnswer answer, ReceivedAnswer received, String play) {
        assertEquals(answer.status(), received.status(), play);
        assertEquals(SoundAnswer.STAMP, received.stamp(), play);
        assertTrue(received.headers().contains(answer.header()), () -> play + ": " + received.headers());
        assertEquals(answer.body(), received.body(), play);
        assertTrue(received.complete(), play);
    }

    private static String describe(SoundAnswer answer, int readBytes, int earlierCalls) {
        return answer.name() + " in reads of " + readBytes + " bytes after " + earlierCalls + " calls";
    }

    private static void assertReceivedAndConnectionKept(SoundAnswer answer) {
        for (int readBytes : READ_BYTES) {
            for (int earlierCalls = 0; earlierCalls <= MAX_EARLIER_CALLS; earlierCalls++) {
                String play = describe(answer, readBytes, earlierCalls);
                RelayFixture relay = relayWithCalls(earlierCalls);
                assertReceived(answer, receive(relay, answer, readBytes, false), play);
                assertCallSucceeds(relay, "n1");
                assertEquals(1, relay.targetConnections.size(), play);
            }
        }
    }

    /** Failure: a check of heads refuses an answer of an unusual but valid form, or gives up its connection. */
    @ParameterizedTest
    @MethodSource("org.dogwoodwinch.relay.SoundAnswer#keepingConnection")
    void soundAnswerReachesCallerAndItsConnectionCarriesNextCall(SoundAnswer answer) {
        assertReceivedAndConnectionKept(answer);
    }

    /** Failure: each answer without a body costs a connection, of which a target accepts few. */
    @ParameterizedTest
    @MethodSource("org.dogwoodwinch.relay.SoundAnswer#withoutBodyAndLength")
    void answerWithoutBodyKeepsItsConnectionWithoutStatingLength(SoundAnswer answer) {
        assertReceivedAndConnectionKept(answer);
    }

    @ParameterizedTest
    @MethodSource("org.dogwoodwinch.relay.SoundAnswer#withoutBodyAndLength")
    void answerWithoutBodyAndLengthReachesCaller(SoundAnswer answer) {
        for (int readBytes : READ_BYTES) {
            for (int earlierCalls = 0; earlierCalls <= MAX_EARLIER_CALLS; earlierCalls++) {
                ReceivedAnswer received = receive(relayWithCalls(earlierCalls), answer, readBytes, false);
                assertReceived(answer, received, describe(answer, readBytes, earlierCalls));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("org.dogwoodwinch.relay.SoundAnswer#endingConnection")
    void soundAnswerThatEndsItsConnectionReachesCaller(SoundAnswer answer) {
        for (int readBytes : READ_BYTES) {
            for (int earlierCalls = 0; earlierCalls <= MAX_EARLIER_CALLS; earlierCalls++) {
                RelayFixture relay = relayWithCalls(earlierCalls);
                String play = describe(answer, readBytes, earlierCalls);
                assertReceived(answer, receive(relay, answer, readBytes, true), play);
                assertCallSucceeds(relay, "n1");
                assertEquals(2, relay.targetConnections.size(), play);
            }
        }
    }

    /** Failure: a call that was turned away before its head was read is not sent on, since no id proves the refusal. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy",
                "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 421 \r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            })
    void rejectionWithoutIdOnNewConnectionIsBelieved(String rejection) {
        for (int readBytes : READ_BYTES) {
            RelayFixture relay =
                    new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");
            RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
            respondInReads(relay.latestTargetConnection(), rejection, readBytes);

            assertEquals(2, relay.targetConnections.size(), rejection);
            relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "two"));
            assertEquals(
                    "two", ReceivedAnswer.parse(caller.takeReceived(), "GET").body());
        }
    }

    /** Failure: a target's own failure is replaced by one of this system, since no id proves it. */
    @ParameterizedTest
    @ValueSource(ints = {500, 504})
    void failureWithoutIdOnNewConnectionIsBelieved(int status) {
        for (int readBytes : READ_BYTES) {
            RelayFixture relay = relayWithCalls(0);
            RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
            String failure = "HTTP/1.1 " + status + " No\r\nServer-Stamp: s-1\r\nContent-Length: 4\r\n\r\nbody";
            respondInReads(relay.latestTargetConnection(), failure, readBytes);

            ReceivedAnswer received = ReceivedAnswer.parse(caller.takeReceived(), "GET");
            assertEquals(status, received.status());
            assertEquals("s-1", received.stamp());
            assertEquals("body", received.body());
        }
    }

    /** Failure: the connection of a rejected call is given up, or the call is not sent on. */
    @ParameterizedTest
    @ValueSource(
            strings = {"503 Busy\r\nNot-Run: 1", "429 Slow\r\nNot-Run: 1", "421 \r\nNot-Run: 1", "421 Misdirected"})
    void rejectionWithIdIsBelievedOnEachCallOfConnection(String statusAndFields) {
        for (int readBytes : READ_BYTES) {
            for (int earlierCalls = 0; earlierCalls <= MAX_EARLIER_CALLS; earlierCalls++) {
                RelayFixture relay = relayWithCalls(earlierCalls);
                RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
                RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
                relay.withPlainTarget("t2");
                String rejection = "HTTP/1.1 " + statusAndFields + "\r\nRequest-Id: a1\r\nContent-Length: 2\r\n\r\nno";
                respondInReads(target, rejection, readBytes);

                assertEquals(2, relay.targetConnections.size(), rejection);
                assertTrue(target.isOpen(), rejection);
                relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "two"));
                assertEquals(
                        "two",
                        ReceivedAnswer.parse(caller.takeReceived(), "GET").body());
            }
        }
    }
}
