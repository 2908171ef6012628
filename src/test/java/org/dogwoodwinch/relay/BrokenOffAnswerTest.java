package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.dogwoodwinch.forwarding.Stage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BrokenOffAnswerTest {

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final RelayFixture relay =
            new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");

    private static String unframedHead(String id) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id
                + "\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n";
    }

    private RelayFixture.FakeCaller streamThatEndsWithItsConnection(String path, String events) {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest(path, "a1"));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        target.respond(unframedHead("a1") + events);
        target.close();
        return caller;
    }

    /** Failure: a stream that its target broke off reaches the caller with a last chunk. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 1\ndata: x\n\nid: 2\nda",
                "id: 1\ndata: x\n\nid: 2\ndata: y\n",
                "id: 1\ndata: x\n\n\uFEFF",
                "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r",
                "id: 1\rdata: x\r\rid: 2\rdata: y\r",
                "id: 1\ndata: x\n\n: cut com",
            })
    void streamThatEndsInsideEventIsNeverCompletedForCaller(String events) {
        RelayFixture.FakeCaller caller = streamThatEndsWithItsConnection("/stream/a", events);

        String received = caller.takeReceived();
        assertTrue(received.startsWith("HTTP/1.1 200 ") && received.contains("data: x"), received);
        assertFalse(received.endsWith(LAST_CHUNK), received);
        assertTrue(caller.isClosed());
        assertEquals(1, relay.targetConnections.size());
        assertEquals(0, relay.service.openCallsCount());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
                "\u00EF\u00BB\u00BFid: 1\r\ndata: x\r\n\r\n",
                "id: 1\rdata: x\r\r",
                "id: 1\ndata: x\n\n: all of the comment\n",
                ": note\nid: 1\ndata: x\n\n\n",
            })
    void wholeStreamThatEndsWithItsConnectionIsCompletedUnchanged(String events) {
        for (String path : new String[] {"/stream/a", "/resume/a"}) {
            String received = streamThatEndsWithItsConnection(path, events).takeReceived();

            assertTrue(received.endsWith(LAST_CHUNK), received);
            assertEquals(events, unchunk(received));
        }
        assertEquals(2, relay.targetConnections.size());
    }

    /** Failure: some cut of some stream, in some framing, reaches the caller as a complete stream. */
    @Property(seed = "5411", tries = 400)
    void callerNeverTakesCutStreamForComplete(
            @ForAll("lineEnds") String lineEnd,
            @ForAll @IntRange(min = 1, max = 4) int eventsCount,
            @ForAll @IntRange(min = 0, max = 200) int cutAt,
            @ForAll @IntRange(min = 1, max = 40) int pieceLength,
            @ForAll boolean isChunked,
            @ForAll boolean isReset) {
        StringBuilder stream = new StringBuilder();
        List<Integer> boundaries = new ArrayList<>();
        for (int i = 1; i <= eventsCount; i++) {
            stream.append("id: ").append(i).append(lineEnd).append("data: word").append(lineEnd);
            stream.append(lineEnd);
            boundaries.add(stream.length());
        }
        int length = Math.min(cutAt, stream.length());
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "a1"));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        target.respond(isChunked ? RelayFixture.streamResponseHead("a1") : unframedHead("a1"));
        for (int from = 0; from < length; from += pieceLength) {
            String piece = stream.substring(from, Math.min(length, from + pieceLength));
            target.respond(isChunked ? RelayFixture.chunk(piece) : piece);
        }
        if (isReset) {
            target.reset();
        } else {
            target.close();
        }

        String received = caller.takeReceived();
        boolean looksComplete = received.startsWith("HTTP/1.1 200 ") && received.endsWith(LAST_CHUNK);
        boolean mayBeWhole = !isChunked && !isReset && boundaries.contains(length);
        assertEquals(mayBeWhole, looksComplete, received);
        if (looksComplete) {
            assertEquals(stream.substring(0, length), unchunk(received));
        }
    }

    @Provide
    Arbitrary<String> lineEnds() {
        return Arbitraries.of("\n", "\r", "\r\n");
    }

    private static String unchunk(String response) {
        StringBuilder body = new StringBuilder();
        int at = response.indexOf("\r\n\r\n") + 4;
        while (true) {
            int lineEnd = response.indexOf("\r\n", at);
            int length = Integer.parseInt(response.substring(at, lineEnd), 16);
            if (length == 0) {
                return body.toString();
            }
            body.append(response, lineEnd + 2, lineEnd + 2 + length);
            at = lineEnd + 2 + length + 2;
        }
    }

    /** Failure: no event arrived, and the caller gets a complete stream without events. */
    @ParameterizedTest
    @ValueSource(strings = {"", "id: 1\nda", ": note\n"})
    void streamWithoutAnyEventGetsBadGateway(String events) {
        String received = streamThatEndsWithItsConnection("/stream/a", events).takeReceived();

        assertTrue(received.startsWith("HTTP/1.1 502 "), received);
    }

    @Test
    void streamWithoutAnyEventIsCompleteByItsChunks() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "a1"));
        relay.latestTargetConnection().respond(RelayFixture.streamResponseHead("a1") + LAST_CHUNK);

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 200 "));
    }

    /** Failure: a stream ends inside an event although its framing is complete. */
    @Test
    void completeFramingDoesNotCompleteStreamThatEndsInsideEvent() {
        RelayFixture.FakeCaller chunked = relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "a1"));
        relay.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead("a1")
                        + RelayFixture.chunk("id: 1\ndata: x\n\nid: 2\nda")
                        + LAST_CHUNK);
        RelayFixture.FakeCaller withLength = relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "b2"));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("b2", "id: 1\ndata: x\n\nid: 2\nda"));

        assertFalse(chunked.takeReceived().endsWith(LAST_CHUNK));
        assertTrue(chunked.isClosed());
        assertFalse(withLength.takeReceived().endsWith(LAST_CHUNK));
        assertTrue(withLength.isClosed());
    }

    /** Failure: a resumable stream without an event passes for complete and is not sent on. */
    @ParameterizedTest
    @ValueSource(strings = {"", "id: 1\nda"})
    void resumableStreamThatNeverBeganGoesOnElsewhere(String events) {
        RelayFixture.FakeCaller caller = streamThatEndsWithItsConnection("/resume/a", events);

        assertEquals(2, relay.targetConnections.size());
        relay.latestTargetConnection().respond(unframedHead("a1") + "id: 1\ndata: x\n\n");
        relay.latestTargetConnection().close();

        assertEquals("id: 1\ndata: x\n\n", unchunk(caller.takeReceived()));
    }

    /** Failure: a reset is taken for the end because the request could not be written whole. */
    @Test
    void endOfConnectionDoesNotCompleteResponseToRequestThatWasNotWritten() {
        RelayFixture.FakeCaller caller = relay.connectCaller();
        relay.failingWrites = true;
        caller.send(RelayFixture.getRequest("/once/a", "a1"));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        target.respond("HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nServer-Stamp: s\r\n\r\nhalf");
        target.close();

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 502 "));
    }

    /** Failure: an event that never ends takes the memory of all calls. */
    @Test
    void eventWithoutEndBreaksStreamOff() {
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/stream/a", "a1"));
        relay.latestTargetConnection().respond(unframedHead("a1") + "id: 1\ndata: x\n\n");
        for (int i = 0; i < 20; i++) {
            if (relay.latestTargetConnection().isOpen()) {
                relay.latestTargetConnection().respond("x".repeat(65_536));
            }
        }

        assertFalse(caller.takeReceived().endsWith(LAST_CHUNK));
        assertTrue(caller.isClosed());
        assertFalse(relay.latestTargetConnection().isOpen());
    }

    /** Failure: the answer of a first stage is cut short, and what follows takes nothing from the retry budget. */
    @Test
    void firstStageThatEndsWithItsConnectionIsLostUnlessItsHandleIsWhole() {
        assertTrue(answerOfFirstStage("").takeReceived().startsWith("HTTP/1.1 503 "));
        assertEquals("", answerOfFirstStage("h7").takeReceived());
    }

    private static RelayFixture.FakeCaller answerOfFirstStage(String body) {
        RelayFixture engines =
                new RelayFixture(0).withRoutes().withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        RelayFixture.FakeCaller caller = engines.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/a", "a1", "Model: m\r\nToken-Count: 20000,8\r\nPrompt-Prefix: 5c:20000\r\n", "x"));
        RelayFixture.FakeTargetConnection prefill = engines.latestTargetConnection();
        assertEquals("p1", prefill.targetId());
        prefill.respond("HTTP/1.1 200 OK\r\nRequest-Id: a1\r\n\r\n" + body);
        prefill.close();
        return caller;
    }
}
