package org.dogwoodwinch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.errorprone.annotations.MustBeClosed;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.request.AnswerSink;
import org.dogwoodwinch.request.Operation;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class CallerHandlerTest {

    private static final TokenUsage USAGE = new TokenUsage(3, 1, 2);

    private final WatchedTime time = new WatchedTime();
    private final EdgeFixture edge = new EdgeFixture(time, new SilentObserver(), Optional.empty());

    CallerHandlerTest() {
        edge.giveCatalogue();
    }

    @AfterEach
    void stop() {
        edge.close();
    }

    @Test
    void aChatIsStreamedTokenByTokenAndEndsWithItsUsage() {
        edge.handler().onSubmit(submitted -> answer(submitted.sink(), "he said \"hi\"\n"));
        HttpResponse<String> response = edge.send(
                "POST",
                "/v1/chat/completions",
                "{\"model\":\"slot\",\"stream\":true,\"stream_options\":{\"include_usage\":true},"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"p\"}]}");
        assertEquals(
                "r-1", response.headers().firstValue("Dogwoodwinch-Request-Id").orElse(""));
        String body = response.body();
        assertTrue(body.contains("\"delta\":{\"role\":\"assistant\",\"content\":\"he said \\\"hi\\\"\\n\"}"), body);
        assertTrue(body.contains("\"finish_reason\":\"stop\""), body);
        assertTrue(body.contains("\"cached_tokens\":1"), body);
        assertTrue(body.endsWith("data: [DONE]\n\n"), body);
        assertEquals(
                "<|user|>\np\n<|assistant|>\n",
                ((Operation.Generate) edge.handler().last().operation()).prompt());
    }

    @Test
    void aCompletionComesWhole() throws IOException {
        edge.handler().onSubmit(submitted -> answer(submitted.sink(), "text"));
        HttpResponse<String> response = edge.send(
                "POST",
                "/v1/completions",
                "{\"model\":\"slot\",\"prompt\":\"p\",\"max_tokens\":9}",
                "Idempotency-Key",
                "key-1",
                "Dogwoodwinch-Deadline-Millis",
                "250");
        assertEquals(
                "text",
                new ObjectMapper()
                        .readTree(response.body())
                        .path("choices")
                        .path(0)
                        .path("text")
                        .asText());
        assertEquals(Optional.of("key-1"), edge.handler().last().idempotencyKey());
        assertEquals(250, edge.handler().last().remainingMillis(time.monotonicMillis()));
        assertEquals(9, ((Operation.Generate) edge.handler().last().operation()).maxTokens());
    }

    @Test
    void aPlainServicesAnswerPassesThroughWithItsOwnStatus() {
        edge.handler()
                .onSubmit(submitted ->
                        submitted.sink().onServiceAnswer(new ServiceAnswer(418, "text/plain", Bytes.ofUtf8("no tea"))));
        HttpResponse<String> response = edge.send("PUT", "/services/checks/a/b?c=d", "body", "Content-Type", "x/y");
        assertEquals(418, response.statusCode());
        assertEquals("no tea", response.body());
        assertFalse(response.headers().firstValue("Dogwoodwinch-Refusal").isPresent());
        assertEquals(
                new Operation.Service("PUT", "/a/b?c=d", "x/y", Bytes.ofUtf8("body")),
                edge.handler().last().operation());
    }

    @Test
    void onlyTheOwnersModelsAreListed() {
        String body = edge.send("GET", "/v1/models", "").body();
        assertTrue(body.contains("\"slot\""), body);
        assertFalse(body.contains("foreign") || body.contains("checks"), body);
    }

    /**
     * The caller has read a part of its answer when the target fails for good. It sees an error event that names the
     * reason, no end mark, and the connection closed: neither a program nor a person takes the part for the whole.
     */
    @Test
    void aRefusalInTheMiddleOfAStreamIsAnErrorEvent() throws IOException {
        edge.handler().onSubmit(submitted -> {
            submitted.sink().onChunk(new AnswerChunk("a", 0, 1, "part "));
            submitted.sink().onRefused(Refusal.mayHaveRun(RefusalReason.ANSWER_CUT, "the engine broke"));
        });
        String body;
        try (Socket socket = connect()) {
            body = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
        assertTrue(body.startsWith("HTTP/1.1 200 OK"), body);
        assertTrue(body.contains("event: error\ndata: {\"error\":{\"message\":\"the engine broke\""), body);
        assertTrue(body.contains("\"run\":\"may-have-run\""), body);
        assertFalse(body.contains("[DONE]"), body);
    }

    /**
     * The caller hangs up before its answer is whole. Nobody wants the rest, so the request is cancelled, which tells
     * the engine to stop.
     */
    @Test
    void aCallerThatLeavesCancelsItsRequest() throws IOException {
        CompletableFuture<AnswerSink> sink = new CompletableFuture<>();
        edge.handler().onSubmit(submitted -> sink.complete(submitted.sink()));
        try (Socket socket = connect()) {
            sink.join();
            socket.setSoLinger(true, 0);
        }
        edge.handler().cancelled().join();
    }

    /**
     * The caller stops reading while the engine goes on. Once its connection is full, the target is paused, long before
     * the answer is on our heap; when it reads again, the target is resumed and every byte arrives.
     */
    @Test
    void aSlowCallerHoldsItsTargetBack() throws IOException {
        CompletableFuture<AnswerSink> sink = new CompletableFuture<>();
        edge.handler().onSubmit(submitted -> sink.complete(submitted.sink()));
        try (Socket socket = connect()) {
            String text = "x".repeat(8_000);
            long sent = 0;
            while (!edge.handler().paused().isDone()) {
                sink.join().onChunk(new AnswerChunk("a", sent, 1, text));
                sent++;
                edge.settle();
                assertTrue(sent < 10_000, "the target was never paused");
            }
            StringBuilder read = new StringBuilder();
            readUntilChunks(socket.getInputStream(), read, sent);
            edge.handler().resumed().join();
            sink.join().onComplete(USAGE, "stop");
            assertTrue(readToEnd(socket.getInputStream(), read).endsWith("data: [DONE]\n\n\r\n0\r\n\r\n"));
            assertEquals(sent, chunksIn(read));
        }
    }

    /**
     * A target hands its whole answer over faster than the event loop can write it. It is paused before more than a few
     * dozen pieces wait, and resumed when they are written; no piece is lost or out of order.
     */
    @Test
    void aTargetFasterThanTheEventLoopIsPaused() throws IOException {
        CompletableFuture<AnswerSink> sink = new CompletableFuture<>();
        edge.handler().onSubmit(submitted -> sink.complete(submitted.sink()));
        try (Socket socket = connect()) {
            sink.join();
            edge.settle();
            for (int i = 0; i < 500; i++) {
                sink.join().onChunk(new AnswerChunk("a", i, 1, "t" + i + " "));
            }
            sink.join().onComplete(USAGE, "stop");
            String all = readToEnd(socket.getInputStream(), new StringBuilder());
            assertEquals(500, chunksIn(new StringBuilder(all)));
            for (int i = 1; i < 500; i++) {
                assertTrue(all.indexOf("\"t" + (i - 1) + " ") < all.indexOf("\"t" + i + " "), "order at " + i);
            }
        }
    }

    /**
     * The answer is whole on our side, but its caller reads slowly and the tail is still in our buffer. The request
     * counts as in flight until the tail is out, so that a stop waits for it and does not cut it.
     */
    @Test
    void anAnswerIsInFlightUntilItsLastByteIsOut() throws IOException {
        CompletableFuture<AnswerSink> sink = new CompletableFuture<>();
        edge.handler().onSubmit(submitted -> sink.complete(submitted.sink()));
        try (Socket socket = connect()) {
            String text = "x".repeat(8_000);
            for (int i = 0; !edge.handler().paused().isDone(); i++) {
                sink.join().onChunk(new AnswerChunk("a", i, 1, text));
                edge.settle();
            }
            sink.join().onComplete(USAGE, "stop");
            edge.settle();
            assertEquals(1, edge.inFlight().count());
            readToEnd(socket.getInputStream(), new StringBuilder());
            edge.settle();
            assertEquals(0, edge.inFlight().count());
        }
    }

    /**
     * The caller leaves its answer unread for longer than is allowed. Its request is cancelled and its connection
     * closed, so that what it holds is free again.
     */
    @Test
    void aCallerThatNeverReadsIsGivenUp() throws IOException {
        CompletableFuture<AnswerSink> sink = new CompletableFuture<>();
        edge.handler().onSubmit(submitted -> sink.complete(submitted.sink()));
        try (Socket socket = connect()) {
            String text = "x".repeat(8_000);
            for (int i = 0; !edge.handler().paused().isDone(); i++) {
                sink.join().onChunk(new AnswerChunk("a", i, 1, text));
                edge.settle();
            }
            time.awaitAndPass(EdgeFixture.LIMITS.slowReaderMillis());
            edge.handler().cancelled().join();
            assertTrue(socket.isBound());
        }
    }

    /**
     * A second request comes on the connection before the first is answered. The first gets its own answer, the second
     * none: the connection closes, so no answer can be taken for another's. Both are sent in one write, so that the
     * listener reads them in one turn, before anything can be answered.
     */
    @Test
    void aPipelinedRequestIsDroppedAndTheConnectionClosed() throws IOException {
        CompletableFuture<AnswerSink> sink = new CompletableFuture<>();
        edge.handler().onSubmit(submitted -> sink.complete(submitted.sink()));
        try (Socket socket = connect("p", "second")) {
            answer(sink.join(), "first");
            String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(1, all.split("HTTP/1.1 200", -1).length - 1, all);
            assertTrue(all.contains("first"), all);
            assertEquals(1, edge.handler().count());
        }
    }

    @MustBeClosed
    private Socket connect() throws IOException {
        return connect("p");
    }

    @MustBeClosed
    private Socket connect(String... prompts) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), edge.port());
        socket.setSoTimeout(20_000);
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        for (String prompt : prompts) {
            sent.writeBytes(request(prompt));
        }
        socket.getOutputStream().write(sent.toByteArray());
        return socket;
    }

    private static byte[] request(String prompt) {
        String body = "{\"model\":\"slot\",\"prompt\":\"" + prompt + "\",\"stream\":true}";
        String head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + EdgeFixture.TOKEN
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.US_ASCII);
    }

    private static void readUntilChunks(InputStream in, StringBuilder text, long count) throws IOException {
        while (chunksIn(text) < count) {
            readSome(in, text);
        }
    }

    private static String readToEnd(InputStream in, StringBuilder text) throws IOException {
        while (text.indexOf("[DONE]\n\n\r\n0\r\n\r\n") < 0) {
            readSome(in, text);
        }
        return text.toString();
    }

    private static void readSome(InputStream in, StringBuilder text) throws IOException {
        byte[] buffer = new byte[65_536];
        int count = in.read(buffer);
        assertTrue(count > 0, "the connection closed early");
        text.append(new String(buffer, 0, count, StandardCharsets.US_ASCII).replace("xxxx", ""));
    }

    private static long chunksIn(StringBuilder text) {
        return text.toString().split("\"finish_reason\":null", -1).length - 1L;
    }

    private static void answer(AnswerSink sink, String text) {
        sink.onChunk(new AnswerChunk("a", 0, 2, text));
        sink.onComplete(USAGE, "stop");
    }
}
