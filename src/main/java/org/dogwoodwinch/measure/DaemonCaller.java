package org.dogwoodwinch.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Splitter;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.dogwoodwinch.standin.http.DemoCatalogue;
import org.dogwoodwinch.target.http.TargetJson;
import org.dogwoodwinch.time.TimeSource;

/** Calls the daemon as a caller does, for streamed completions. */
final class DaemonCaller implements PathCaller {

    private static final Duration TIMEOUT = Duration.ofMinutes(2);
    private static final String DATA = "data: ";
    private static final String DONE = "data: [DONE]";

    private final AsyncHttpClient client;
    private final String url;
    private final int maxTokens;
    private final TimeSource time;

    /**
     * Creates a caller.
     *
     * @param group runs the I/O, not null
     * @param callersUrl where the daemon listens, not null
     * @param maxTokens the most tokens of an answer
     * @param time measures, not null
     */
    DaemonCaller(EventLoopGroup group, String callersUrl, int maxTokens, TimeSource time) {
        this.client = new DefaultAsyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setEventLoopGroup(group)
                .setMaxRequestRetry(0)
                .setRequestTimeout(TIMEOUT)
                .setReadTimeout(TIMEOUT)
                .setTcpNoDelay(true)
                .build());
        this.url = callersUrl + "/v1/completions";
        this.maxTokens = maxTokens;
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Closes the connections. */
    void close() {
        try {
            client.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public CompletionStage<PathAnswer> send(String _requestId, String prompt) {
        String body = "{\"model\":\"" + DemoCatalogue.SLOT_CONFIRMATION + "\",\"stream\":true,\"max_tokens\":"
                + maxTokens + ",\"prompt\":\"" + prompt + "\"}";
        Request request = new RequestBuilder("POST", true)
                .setUrl(url)
                .setHeader("Authorization", "Bearer " + DemoCatalogue.BOOKING_TOKEN)
                .setBody(body)
                .build();
        Collector collector = new Collector(time);
        ListenableFuture<Void> exchange = client.executeRequest(request, collector);
        if (exchange.isCancelled()) {
            collector.onThrowable(new IllegalStateException("the client is closing"));
        }
        return collector.answer;
    }

    private static final class Collector implements AsyncHandler<Void> {

        private final CompletableFuture<PathAnswer> answer = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final AnswerStopwatch stopwatch;

        Collector(TimeSource time) {
            this.stopwatch = new AnswerStopwatch(time);
        }

        @Override
        public State onStatusReceived(HttpResponseStatus _status) {
            return State.CONTINUE;
        }

        @Override
        public State onHeadersReceived(HttpHeaders _headers) {
            return State.CONTINUE;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            stopwatch.onPart();
            body.writeBytes(part.getBodyPartBytes());
            return State.CONTINUE;
        }

        @Override
        public void onThrowable(Throwable error) {
            answer.complete(new PathAnswer(false, error.toString(), 0, stopwatch.elapsedNanos()));
        }

        @Override
        public Void onCompleted() {
            long totalNanos = stopwatch.elapsedNanos();
            String events = body.toString(StandardCharsets.UTF_8);
            boolean whole = events.contains(DONE);
            answer.complete(new PathAnswer(whole, whole ? textOf(events) : events, stopwatch.firstNanos(), totalNanos));
            return null;
        }

        private static String textOf(String events) {
            StringBuilder text = new StringBuilder();
            for (String line : Splitter.on('\n').split(events)) {
                if (line.startsWith(DATA) && !line.equals(DONE)) {
                    byte[] json = line.substring(DATA.length()).getBytes(StandardCharsets.UTF_8);
                    TargetJson.read(json, JsonNode.class)
                            .map(piece ->
                                    piece.path("choices").path(0).path("text").asText(""))
                            .ifPresent(text::append);
                }
            }
            return text.toString();
        }
    }
}
