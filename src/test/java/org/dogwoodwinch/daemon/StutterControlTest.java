package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.relay.ConnectionPolicy;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.ControlReply;
import org.dogwoodwinch.relay.ControlRequest;
import org.dogwoodwinch.standin.platform.RandomStutter;
import org.dogwoodwinch.standin.platform.StandInAnswer;
import org.dogwoodwinch.standin.platform.StandInListener;
import org.dogwoodwinch.standin.platform.StandInRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Asks a server that stutters for control answers, one question after another, over real sockets. */
class StutterControlTest {

    private static final int QUESTIONS = 400;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int MAX_TEST_SECONDS = 300;

    private final Transport serverLoop = Transport.start(1);
    private final Transport clientLoop = Transport.start(1);
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final List<String> answered = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        DaemonSockets.shutDown(clientLoop);
        DaemonSockets.shutDown(serverLoop);
    }

    /** Failure: the second answer to an order or a question is read as the answer to the next one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void eachControlAnswerIsThatOfItsQuestionBesideServerThatAnswersTwice(long seed) throws Exception {
        try (StandInListener server = StandInListener.bindStuttering(
                serverLoop,
                StutterControlTest::answer,
                new RandomStutter(RandomSource.XO_RO_SHI_RO_128_PP.create(seed), 0.4),
                new EventLoopTime(serverLoop.eventLoopGroup().next()))) {
            ControlClient client = new ControlClient(
                    clientLoop,
                    clientLoop.eventLoopGroup().next(),
                    new EventLoopTime(clientLoop.eventLoopGroup().next()),
                    new ConnectionPolicy(TIMEOUT_MILLIS, TIMEOUT_MILLIS, TIMEOUT_MILLIS));
            CompletableFuture<Void> done = new CompletableFuture<>();
            clientLoop.eventLoopGroup().next().execute(() -> ask(client, Addresses.parse(server.address()), 0, done));
            done.get(MAX_TEST_SECONDS, TimeUnit.SECONDS);
        }
        assertEquals(List.of(), failures, () -> String.join("\n", failures));
        assertTrue(answered.size() > QUESTIONS / 2, () -> "only " + answered.size() + " answers");
    }

    /** Asks one question, and the next one within the callback that receives the answer. */
    private void ask(ControlClient client, InetSocketAddress address, int number, CompletableFuture<Void> done) {
        if (number == QUESTIONS) {
            done.complete(null);
            return;
        }
        String question = "/question-" + number + "-" + "x".repeat(number * 37 % 400);
        ControlRequest request = new ControlRequest(HttpMethod.GET, question, new DefaultHttpHeaders(), Bytes.EMPTY);
        CompletionStage<ControlReply> reply = client.call(address, request, TIMEOUT_MILLIS);
        reply.thenAccept(received -> {
            check(question, received);
            ask(client, address, number + 1, done);
        });
    }

    private void check(String question, ControlReply received) {
        if (received instanceof ControlReply.Answered reply) {
            answered.add(question);
            if (reply.status() != statusOf(question) || !reply.body().toUtf8().equals(question)) {
                failures.add("asked " + shorten(question) + ", received " + reply.status() + " "
                        + shorten(reply.body().toUtf8()));
            }
        } else if (received.equals(new ControlReply.Lost("timeout"))) {
            failures.add("asked " + shorten(question) + ", received nothing until the time-out");
        }
    }

    private static String shorten(String text) {
        return text.substring(0, Math.min(text.length(), 16));
    }

    private static int statusOf(String question) {
        return question.length() % 3 == 0 ? 409 : 200;
    }

    private static void answer(StandInRequest request, StandInAnswer answer) {
        String requestId = request.header("request-id");
        Map<String, String> headers = requestId.isEmpty() ? Map.of() : Map.of("request-id", requestId);
        answer.whole(statusOf(request.uri()), headers, request.uri().getBytes(StandardCharsets.US_ASCII));
    }
}
