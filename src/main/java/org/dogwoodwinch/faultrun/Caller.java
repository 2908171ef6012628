package org.dogwoodwinch.faultrun;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Response;
import org.dogwoodwinch.history.HistoryRecorder;
import org.dogwoodwinch.history.RequestEvent;
import org.dogwoodwinch.time.TimeSource;

/** Makes calls and records each one's begin and end, as a caller sees them. Thread-safe. */
final class Caller {

    private static final int MAX_TOKENS = 64;

    private final AsyncHttpClient client;
    private final String token;
    private final TimeSource time;
    private final HistoryRecorder history;
    private final ObjectMapper mapper = new ObjectMapper();
    private final AtomicLong calls = new AtomicLong();

    /**
     * Creates a caller.
     *
     * @param client makes the calls, not null; it must not send one twice by itself
     * @param token the owner's bearer token, not null
     * @param time gives the run's common time of day, not null
     * @param history takes the events, not null
     */
    Caller(AsyncHttpClient client, String token, TimeSource time, HistoryRecorder history) {
        this.client = Objects.requireNonNull(client, "client");
        this.token = Objects.requireNonNull(token, "token");
        this.time = Objects.requireNonNull(time, "time");
        this.history = Objects.requireNonNull(history, "history");
    }

    /**
     * Returns the longest answer that calls ask for.
     *
     * @return tokens
     */
    static int maxTokens() {
        return MAX_TOKENS;
    }

    /**
     * Returns how many calls were made.
     *
     * @return the count
     */
    long callCount() {
        return calls.get();
    }

    /**
     * Makes one call; a resend is one more call of the same plan.
     *
     * @param plan what is wanted, not null
     * @param instance the instance's name, not null
     * @param callersPort where it takes calls
     * @return how it ended; completes normally in every case
     */
    CompletionStage<CallResult> call(CallPlan plan, String instance, int callersPort) {
        String callId = "c" + calls.incrementAndGet();
        history.record(new RequestEvent.Invoked(
                time.wallMillis(),
                callId,
                plan.requestId(),
                instance,
                plan.workClass(),
                plan.repeatable(),
                digest(plan.expectedAnswer())));
        return request(plan, callersPort).execute().toCompletableFuture().handle((response, error) -> {
            CallResult result = error == null ? read(plan, response) : lost(error);
            history.record(event(callId, result));
            return result;
        });
    }

    private BoundRequestBuilder request(CallPlan plan, int callersPort) {
        String base = "http://127.0.0.1:" + callersPort;
        BoundRequestBuilder request = plan.service()
                ? client.preparePost(base + "/services/" + plan.entry() + "/run")
                        .setBody(plan.prompt())
                : client.preparePost(base + "/v1/completions").setBody(body(plan));
        request.setHeader("Authorization", "Bearer " + token);
        if (!plan.repeatable()) {
            request.setHeader("Idempotency-Key", plan.requestId());
        }
        return request;
    }

    private String body(CallPlan plan) {
        ObjectNode body = mapper.createObjectNode();
        body.put("model", plan.entry());
        body.put("prompt", plan.prompt());
        body.put("max_tokens", MAX_TOKENS);
        body.put("stream", plan.streamed());
        return body.toString();
    }

    private static CallResult read(CallPlan plan, Response response) {
        return CallReplyReader.read(plan, response.getStatusCode(), response.getResponseBody(StandardCharsets.UTF_8));
    }

    private static CallResult lost(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        return new CallResult.Lost(!(cause instanceof ConnectException), String.valueOf(cause));
    }

    private RequestEvent event(String callId, CallResult result) {
        long nowMillis = time.wallMillis();
        if (result instanceof CallResult.Answered answered) {
            return new RequestEvent.Answered(nowMillis, callId, digest(answered.text()));
        }
        if (result instanceof CallResult.Refused refused) {
            return new RequestEvent.Refused(nowMillis, callId, refused.reason(), refused.run());
        }
        CallResult.Lost lost = (CallResult.Lost) result;
        return new RequestEvent.Lost(nowMillis, callId, lost.connected(), lost.detail());
    }

    private static String digest(String text) {
        return text.length() + "-"
                + Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
