package org.dogwoodwinch.target.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.EngineConfiguration;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.ServiceCall;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class HttpEngineClientTest {

    private static final String CHUNK = "{\"attemptId\":\"a-1\",\"sequence\":0,\"tokens\":1,\"text\":\"t \"}";
    private static final String END = "{\"attemptId\":\"a-1\",\"usage\":{\"promptTokens\":1,\"cachedPromptTokens\":0,"
            + "\"completionTokens\":1},\"finishReason\":\"stop\"}";
    private static final String REFUSAL =
            "{\"status\":503,\"reason\":\"leaving\",\"run\":\"not-run\",\"detail\":\"d\",\"retryAfterMillis\":7}";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final HttpClients clients = new HttpClients(group, 2_000);
    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final HttpTargetClientFactory targets = new HttpTargetClientFactory(clients, time, TargetTimeouts.DEFAULT);
    private final RecordingListener listener = new RecordingListener();

    @AfterEach
    void stop() {
        clients.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    void streamWithFinalLineCompletes() throws IOException {
        assertEquals("whole:t stop", generate(ScriptedServer.streamResponse("", CHUNK, END)));
    }

    /** Failure: an engine dies while it answers, the connection closes in order, and the answer passes for complete. */
    @Test
    void streamWithoutFinalLineIsBroken() throws IOException {
        assertEquals("Broken:stream ended without its final line", generate(ScriptedServer.streamResponse(CHUNK)));
    }

    @Test
    void malformedLineBreaksStream() throws IOException {
        assertEquals("Broken:malformed stream line", generate(ScriptedServer.streamResponse(CHUNK, "{\"sequence\":")));
        assertEquals(
                "Broken:malformed stream line",
                generate(ScriptedServer.streamResponse(
                        "{\"attemptId\":\"a-1\",\"sequence\":-1,\"tokens\":1,\"text\":\"\"}")));
    }

    /** Failure: an engine or a proxy mixes up two answers, and a caller receives text of another caller's request. */
    @Test
    void lineOfAnotherAttemptBreaksStream() throws IOException {
        assertEquals(
                "Broken:received a line of attempt a-2",
                generate(ScriptedServer.streamResponse(CHUNK.replace("a-1", "a-2"), END)));
    }

    @Test
    void onlyNotRunRefusalProvesNotRun() throws IOException {
        assertEquals(
                "Refused:d", generate(ScriptedServer.fixedLengthResponse(503, "application/problem+json", REFUSAL)));
        assertEquals(
                "Failed:status 503",
                generate(ScriptedServer.fixedLengthResponse(
                        503, "application/problem+json", REFUSAL.replace("not-run", "may-have-run"))));
        assertEquals(
                "Failed:status 503", generate(ScriptedServer.fixedLengthResponse(503, "text/plain", "overloaded")));
    }

    @Test
    void refusedConnectionIsReportedAsNotSent() throws IOException {
        Target stoppedTarget;
        try (ScriptedServer server = new ScriptedServer()) {
            stoppedTarget = server.target();
        }
        targets.engineClient(stoppedTarget).generate(call(), listener);
        assertTrue(listener.outcome.join().startsWith("NotSent:"), listener.outcome.join());
    }

    /**
     * Failure: the engine closes the connection without an answer, and the HTTP library retries a call that may have
     * run.
     */
    @Test
    void connectionClosedWithoutAnswerIsBrokenAndNotRetried() throws IOException {
        try (ScriptedServer server = new ScriptedServer("", ScriptedServer.streamResponse(CHUNK, END))) {
            targets.engineClient(server.target()).generate(call(), listener);
            assertTrue(listener.outcome.join().startsWith("Broken:"), listener.outcome.join());
            TargetReply<ServiceAnswer> second = targets.serviceClient(server.target())
                    .call(new ServiceCall("a-2", "POST", "/", "", Bytes.EMPTY, 2_000))
                    .toCompletableFuture()
                    .join();
            assertInstanceOf(TargetReply.Answer.class, second);
        }
    }

    /** Failure: an engine process is stopped, its connection stays open, and the attempt never ends. */
    @Test
    void silentEngineTimesOut() throws IOException {
        try (ScriptedServer server = new ScriptedServer()) {
            targets.engineClient(server.target()).generate(call(), listener);
            time.advanceMillis(TargetTimeouts.DEFAULT.silenceMillis());
            assertTrue(listener.outcome.join().startsWith("TimedOut:"), listener.outcome.join());
        }
    }

    @Test
    void unansweredOrderIsUnknownAndUnsentOrderIsRefused() throws IOException {
        EngineOrder order =
                new EngineOrder("o", 4, new EngineConfiguration(EngineRole.MIXED, "m", "1", new java.util.TreeSet<>()));
        Target stoppedTarget;
        try (ScriptedServer server = new ScriptedServer(
                "",
                ScriptedServer.fixedLengthResponse(
                        200, "application/json", "{\"result\":\"fenced\"," + "\"highestFencingToken\":9}"))) {
            stoppedTarget = server.target();
            assertInstanceOf(OrderResult.Unknown.class, sendOrder(stoppedTarget, order));
            assertEquals(new OrderResult.Fenced(9), sendOrder(stoppedTarget, order));
        }
        assertInstanceOf(OrderResult.Refused.class, sendOrder(stoppedTarget, order));
    }

    @Test
    void loadReportWithMissingNumberIsRejected() throws IOException {
        try (ScriptedServer server = new ScriptedServer(
                ScriptedServer.fixedLengthResponse(200, "application/json", "{\"reportedAtMillis\":1}"))) {
            TargetReply<?> reply = targets.engineClient(server.target())
                    .fetchLoadReport()
                    .toCompletableFuture()
                    .join();
            assertEquals(new TargetReply.Failure<>(new TargetFailure.Broken("malformed answer")), reply);
        }
    }

    private OrderResult sendOrder(Target target, EngineOrder order) {
        return targets.engineClient(target)
                .sendOrder(order)
                .toCompletableFuture()
                .join();
    }

    private String generate(String answer) throws IOException {
        RecordingListener answerListener = new RecordingListener();
        try (ScriptedServer server = new ScriptedServer(answer)) {
            targets.engineClient(server.target()).generate(call(), answerListener);
            return answerListener.outcome.join();
        }
    }

    private static GenerateCall call() {
        return new GenerateCall("a-1", "m", "p", 5, 0, 20_000, false, Optional.empty());
    }

    private static final class RecordingListener implements AnswerListener {

        private final CompletableFuture<String> outcome = new CompletableFuture<>();
        private final List<String> texts = new ArrayList<>();

        @Override
        public void onChunk(AnswerChunk chunk) {
            texts.add(chunk.text());
        }

        @Override
        public void onComplete(TokenUsage _usage, String finishReason) {
            outcome.complete("whole:" + String.join("", texts) + finishReason);
        }

        @Override
        public void onFailure(TargetFailure failure) {
            outcome.complete(failure.getClass().getSimpleName() + ":" + failure.detail());
        }
    }
}
