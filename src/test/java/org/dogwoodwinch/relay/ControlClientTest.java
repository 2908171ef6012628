package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays servers that send bytes that belong to no answer, or an answer a second time. */
class ControlClientTest {

    private static final InetSocketAddress ADDRESS = InetSocketAddress.createUnresolved("10.0.0.1", 80);
    private static final long TIMEOUT_MILLIS = 1_000;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final FakeControlServer server = new FakeControlServer();
    private final ControlClient client = new ControlClient(server, time);
    private final List<String> replies = new ArrayList<>();

    private static ControlRequest request(String uri) {
        return new ControlRequest(HttpMethod.GET, uri, new DefaultHttpHeaders(), Bytes.EMPTY);
    }

    private static String describe(ControlReply reply) {
        return reply instanceof ControlReply.Answered answered
                ? answered.status() + " " + new String(answered.body().toByteArray(), StandardCharsets.UTF_8)
                : ((ControlReply.Lost) reply).reason();
    }

    private void ask(String uri) {
        client.call(ADDRESS, request(uri), TIMEOUT_MILLIS).thenAccept(reply -> replies.add(describe(reply)));
    }

    private void askOnceAnswered(String uri, String nextUri) {
        client.call(ADDRESS, request(uri), TIMEOUT_MILLIS).thenAccept(reply -> {
            replies.add(describe(reply));
            ask(nextUri);
        });
    }

    private static String answer(String body) {
        return FakeControlServer.answer("200 OK", body);
    }

    @Test
    void connectionOfWholeAnswerIsKept() {
        ask("/a");
        server.latest().send(answer("a"));
        ask("/b");
        server.latest().send(answer("b"));

        assertEquals(List.of("200 a", "200 b"), replies);
        assertEquals(1, server.connectionsCount());
    }

    @Test
    void secondAnswerInSameReadIsNotTakenForNextQuestion() {
        askOnceAnswered("/a", "/b");
        server.latest().send(answer("a") + answer("a"));

        assertEquals(List.of("200 a"), replies);
        assertFalse(server.connection(0).isOpen());
        server.latest().send(answer("b"));
        assertEquals(List.of("200 a", "200 b"), replies);
        assertEquals(2, server.connectionsCount());
    }

    @Test
    void beginningOfSecondAnswerInSameReadIsNotGluedToNextAnswer() {
        String second = answer("a");
        for (int cut = 1; cut < second.length(); cut++) {
            replies.clear();
            askOnceAnswered("/a", "/b");
            int connectionsCount = server.connectionsCount();
            server.latest().send(answer("a") + second.substring(0, cut));

            assertEquals(List.of("200 a"), replies, "cut at " + cut);
            assertEquals(connectionsCount + 1, server.connectionsCount(), "cut at " + cut);
            server.latest().send(FakeControlServer.answer("409 Conflict", "b"));
            assertEquals(List.of("200 a", "409 b"), replies, "cut at " + cut);
            server.latest().close();
        }
    }

    /** The answer of before is not told from the own one that follows it. */
    @Test
    void firstOfTwoAnswersOnUsedConnectionIsNotTakenForQuestion() {
        ask("/a");
        server.latest().send(answer("a"));
        ask("/b");
        server.latest().send(answer("a") + FakeControlServer.answer("409 Conflict", "b"));

        assertEquals(List.of("200 a", "bytes_after_answer"), replies);
        assertFalse(server.latest().isOpen());
    }

    @Test
    void beginningOfSecondAnswerIsNotGluedToAnswerOfQuestion() {
        String second = FakeControlServer.answer("200 OK", "aaaaaaaa");
        for (int cut = 1; cut < second.length(); cut++) {
            for (boolean oneRead : new boolean[] {true, false}) {
                replies.clear();
                ask("/a");
                server.latest().send(answer("a"));
                ask("/b");
                String own = FakeControlServer.answer("409 Conflict", "b");
                if (oneRead) {
                    server.latest().send(second.substring(0, cut) + own);
                } else {
                    server.latest().send(second.substring(0, cut));
                    server.latest().send(own);
                }
                time.advanceMillis(TIMEOUT_MILLIS);

                String outcome = replies.get(1);
                assertFalse(outcome.startsWith("200"), "cut at " + cut + ": " + outcome);
                assertFalse(server.latest().isOpen(), "cut at " + cut + ": " + outcome);
            }
        }
    }

    private static Stream<SoundAnswer> soundAnswers() {
        return Stream.of(SoundAnswer.keepingConnection(), SoundAnswer.withoutBodyAndLength())
                .flatMap(List::stream)
                .filter(sound -> sound.method().equals("GET"));
    }

    /** Failure: what guards against second answers refuses sound ones, or closes their connections. */
    @ParameterizedTest
    @MethodSource("soundAnswers")
    void soundAnswerIsDeliveredAndItsConnectionKept(SoundAnswer sound) {
        String text = sound.textFor("a1");
        int step = text.length() < 1_000 ? 1 : 1_000;
        for (int readBytes : new int[] {text.length(), step}) {
            for (int call = 0; call < 2; call++) {
                replies.clear();
                ask("/a");
                for (int from = 0; from < text.length(); from += readBytes) {
                    server.latest().send(text.substring(from, Math.min(text.length(), from + readBytes)));
                }
                assertEquals(List.of(sound.status() + " " + sound.body()), replies);
            }
        }
        assertEquals(1, server.connectionsCount());
    }

    @Test
    void oddButLegalAnswersAreAccepted() {
        List<String> sound = List.of(
                "HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 200 All is well: 1.1/2\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX-A:\r\nX-B: c:d/1.1\r\nContent-Length: 1\r\n\r\na",
                "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\na");
        for (String each : sound) {
            for (int cut = 1; cut < each.length(); cut++) {
                replies.clear();
                ask("/a");
                server.latest().send(each.substring(0, cut));
                server.latest().send(each.substring(cut));
                assertEquals(List.of("200 a"), replies, each + " cut at " + cut);
            }
        }
        assertEquals(1, server.connectionsCount());
    }

    @Test
    void endlessInterimHeadsEndConnection() {
        ask("/a");
        server.latest().send("HTTP/1.1 100 Continue\r\n\r\n".repeat(ReceiveLimits.MAX_INTERIM_HEADS + 1));

        assertEquals(List.of("interim_heads"), replies);
        assertFalse(server.latest().isOpen());
    }

    @Test
    void bytesOnIdleConnectionEndIt() {
        ask("/a");
        server.latest().send(answer("a"));
        server.latest().send("\r\n");

        assertFalse(server.latest().isOpen());
    }

    @Test
    void answerThatEndsWithItsConnectionIsDelivered() {
        ask("/a");
        server.latest().send("HTTP/1.1 200 OK\r\n\r\na");
        server.latest().close();

        assertEquals(List.of("200 a"), replies);
    }

    @Test
    void timeOutEndsConnection() {
        ask("/a");
        time.advanceMillis(TIMEOUT_MILLIS);

        assertEquals(List.of("timeout"), replies);
        assertFalse(server.latest().isOpen());
        ask("/b");
        assertTrue(server.latest().takeReceived().startsWith("GET /b "));
        assertEquals(2, server.connectionsCount());
    }
}
