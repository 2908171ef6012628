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

/** Sends HTTP calls with a timeout and a maximum answer size, and returns every outcome as a value. */
public final class HttpCaller {

    /** The media type of JSON bodies. */
    public static final String JSON = "application/json";

    private static final int OK = 200;

    private final AsyncHttpClient client;
    private final int maxAnswerBytes;

    /**
     * Creates a caller.
     *
     * @param client sends the calls, not null; not closed by this class
     * @param maxAnswerBytes the maximum size of an answer, in bytes
     */
    public HttpCaller(AsyncHttpClient client, int maxAnswerBytes) {
        this.client = Objects.requireNonNull(client, "client");
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Sends a call once, without retries.
     *
     * @param method the HTTP method, not null
     * @param url the URL, not null
     * @param contentType the body's media type; empty if there is no body, not null
     * @param body the body, not null
     * @param timeoutMillis the timeout of the whole call, in milliseconds
     * @return the answer with any status, or the failure; never completes exceptionally
     */
    public CompletionStage<TargetReply<ServiceAnswer>> call(
            String method, String url, String contentType, Bytes body, long timeoutMillis) {
        BufferedAnswerHandler handler = new BufferedAnswerHandler(maxAnswerBytes);
        try {
            ListenableFuture<Void> exchange =
                    client.executeRequest(request(method, url, contentType, body, timeoutMillis), handler);
            if (exchange.isCancelled()) {
                handler.onThrowable(new CancellationException("the HTTP client is closing"));
            }
        } catch (RuntimeException e) {
            // The client is closed or the URL is malformed. Without this, the returned stage would never complete.
            handler.onThrowable(e);
        }
        return handler.reply();
    }

    /**
     * Sends a call and parses its answer, which must be JSON with status 200.
     *
     * @param method the HTTP method, not null
     * @param url the URL, not null
     * @param body the JSON body; empty if there is no body, not null
     * @param timeoutMillis the timeout of the whole call, in milliseconds
     * @param type the answer's type, not null
     * @param <T> the answer's type
     * @return the answer, or the failure; never completes exceptionally
     */
    public <T> CompletionStage<TargetReply<T>> callJson(
            String method, String url, Bytes body, long timeoutMillis, Class<T> type) {
        return call(method, url, JSON, body, timeoutMillis)
                .thenApply(reply -> parse(reply, content -> TargetJson.read(content, type)));
    }

    /**
     * Parses a reply whose answer must be JSON with status 200.
     *
     * @param reply the reply, not null
     * @param reader parses the body and returns empty if it is malformed, not null
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
