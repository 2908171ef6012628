package org.dogwoodwinch.target.http;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;

/** Sends one bounded HTTP call and turns whatever becomes of it into a value. */
public final class HttpCaller {

    /** The media type of JSON bodies. */
    public static final String JSON = "application/json";

    private static final int OK = 200;

    private final AsyncHttpClient client;
    private final int maxAnswerBytes;

    /**
     * Creates a caller.
     *
     * @param client sends the calls, not null; its owner closes it
     * @param maxAnswerBytes the longest answer taken, in bytes
     */
    public HttpCaller(AsyncHttpClient client, int maxAnswerBytes) {
        this.client = Objects.requireNonNull(client, "client");
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Sends a call, once.
     *
     * @param method the HTTP method, not null
     * @param url the URL, not null
     * @param contentType the body's media type; empty where there is no body, not null
     * @param body the body, not null
     * @param timeoutMillis how long the whole call may take, in milliseconds
     * @return the answer whatever its status, or the failure; completes normally
     */
    public CompletionStage<TargetReply<ServiceAnswer>> call(
            String method, String url, String contentType, Bytes body, long timeoutMillis) {
        BufferedAnswerHandler handler = new BufferedAnswerHandler(maxAnswerBytes);
        try {
            ListenableFuture<Void> exchange =
                    client.executeRequest(request(method, url, contentType, body, timeoutMillis), handler);
            if (exchange.isCancelled()) {
                handler.onThrowable(new CancellationException("the client is closing"));
            }
        } catch (RuntimeException e) {
            // A closed client or a malformed URL: without this, the caller would wait for an answer that never comes.
            handler.onThrowable(e);
        }
        return handler.reply();
    }

    /**
     * Sends a call whose answer is JSON with status 200.
     *
     * @param method the HTTP method, not null
     * @param url the URL, not null
     * @param body the JSON body; empty for none, not null
     * @param timeoutMillis how long the whole call may take, in milliseconds
     * @param type the answer's type, not null
     * @param <T> the answer's type
     * @return the answer, or the failure; completes normally
     */
    public <T> CompletionStage<TargetReply<T>> callJson(
            String method, String url, Bytes body, long timeoutMillis, Class<T> type) {
        return call(method, url, JSON, body, timeoutMillis)
                .thenApply(reply -> parse(reply, content -> TargetJson.read(content, type)));
    }

    /**
     * Reads a reply whose answer is JSON with status 200.
     *
     * @param reply the reply, not null
     * @param reader reads the body, not null; empty where it is malformed
     * @param <T> the answer's type
     * @return the answer, or the failure
     */
    static <T> TargetReply<T> parse(TargetReply<ServiceAnswer> reply, Function<byte[], Optional<T>> reader) {
        return reply.match(answer -> parseAnswer(answer, reader), TargetReply.Failure::new);
    }

    private static <T> TargetReply<T> parseAnswer(ServiceAnswer answer, Function<byte[], Optional<T>> reader) {
        if (answer.status() != OK) {
            return new TargetReply.Failure<>(new TargetFailure.Failed("status " + answer.status()));
        }
        return reader.apply(answer.body().toByteArray())
                .<TargetReply<T>>map(TargetReply.Answer::new)
                .orElseGet(() -> new TargetReply.Failure<>(new TargetFailure.Broken("malformed answer")));
    }

    private static Request request(String method, String url, String contentType, Bytes body, long timeoutMillis) {
        Duration timeout = Duration.ofMillis(Math.max(1, timeoutMillis));
        RequestBuilder builder = new RequestBuilder(method, true).setUrl(url);
        builder.setRequestTimeout(timeout).setReadTimeout(timeout);
        if (body.length() > 0) {
            builder.setBody(body.toByteArray()).setHeader("Content-Type", contentType);
        }
        return builder.build();
    }
}
