package org.dogwoodwinch.target.http;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.CacheEvent;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.NoOpAnswerStream;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.time.TimeSource;

/**
 * Calls one engine over HTTP.
 *
 * <p>Streams are lines of JSON ({@link StreamLine}); docs/http-api.md describes the paths. Callbacks run on the
 * client's I/O threads, or on the calling thread if nothing could be sent.
 */
public final class HttpEngineClient implements EngineClient {

    private static final String ATTEMPTS_PATH = "/v1/attempts";

    /**
     * Lets the request's own deadline timer fire first; the HTTP timeout only releases an exchange that remains open.
     */
    private static final long DEADLINE_SLACK_MILLIS = 2_000;

    private final AsyncHttpClient client;
    private final HttpCaller caller;
    private final String baseUrl;
    private final TimeSource time;
    private final TargetTimeouts timeouts;

    /**
     * Creates a client.
     *
     * @param client sends the calls, not null; not closed by this class
     * @param target the engine, not null
     * @param time runs the timers, not null
     * @param timeouts the timeouts of the calls, not null
     */
    public HttpEngineClient(AsyncHttpClient client, Target target, TimeSource time, TargetTimeouts timeouts) {
        this.client = Objects.requireNonNull(client, "client");
        this.caller = new HttpCaller(client, timeouts.maxAnswerBytes());
        this.baseUrl = "http://" + target.address();
        this.time = Objects.requireNonNull(time, "time");
        this.timeouts = timeouts;
    }

    @Override
    public AnswerStream generate(GenerateCall call, AnswerListener listener) {
        Request request = new RequestBuilder("POST", true)
                .setUrl(baseUrl + ATTEMPTS_PATH)
                .setHeader("Content-Type", HttpCaller.JSON)
                .setBody(TargetJson.write(GenerateBody.of(call)))
                .setRequestTimeout(Duration.ofMillis(call.remainingMillis() + DEADLINE_SLACK_MILLIS))
                .build();
        return stream(request, call.attemptId(), listener);
    }

    @Override
    public AnswerStream resume(String attemptId, long fromSequence, AnswerListener listener) {
        Request request = new RequestBuilder("GET", true)
                .setUrl(attemptUrl(attemptId) + "?from=" + fromSequence)
                .setRequestTimeout(Duration.ofMillis(timeouts.resumeMillis()))
                .build();
        return stream(request, attemptId, listener);
    }

    @Override
    public CompletionStage<TargetReply<LoadReport>> fetchLoadReport() {
        return caller.callJson("GET", baseUrl + "/v1/load", Bytes.EMPTY, timeouts.callMillis(), LoadReport.class);
    }

    @Override
    public CompletionStage<TargetReply<List<CacheEvent>>> fetchCacheEvents(long afterSequence) {
        String url = baseUrl + "/v1/cache-events?after=" + afterSequence;
        return caller.call("GET", url, "", Bytes.EMPTY, timeouts.callMillis())
                .thenApply(reply -> HttpCaller.parse(reply, body -> TargetJson.readList(body, CacheEvent.class)));
    }

    @Override
    public CompletionStage<TargetReply<KvReference>> exportKv(String attemptId) {
        String url = attemptUrl(attemptId) + "/kv";
        return caller.callJson("POST", url, Bytes.EMPTY, timeouts.callMillis(), KvReference.class);
    }

    @Override
    public CompletionStage<OrderResult> sendOrder(EngineOrder order) {
        Bytes body = Bytes.of(TargetJson.write(order));
        return caller.callJson("POST", baseUrl + "/v1/orders", body, timeouts.orderMillis(), OrderReply.class)
                .thenApply(reply -> reply.match(OrderReply::toResult, HttpEngineClient::toOrderResult));
    }

    @Override
    public CompletionStage<TargetReply<EngineState>> fetchState() {
        return caller.callJson("GET", baseUrl + "/v1/state", Bytes.EMPTY, timeouts.callMillis(), EngineState.class);
    }

    private AnswerStream stream(Request request, String attemptId, AnswerListener listener) {
        EngineStreamHandler handler = new EngineStreamHandler(attemptId, listener);
        ListenableFuture<Void> exchange;
        try {
            exchange = client.executeRequest(request, handler);
        } catch (RuntimeException e) {
            // The client is closed or the URL is malformed. Without this, the listener would never be called.
            handler.onThrowable(e);
            return NoOpAnswerStream.INSTANCE;
        }
        HttpEngineStream stream = new HttpEngineStream(
                handler, exchange, () -> cancelOnEngine(attemptId), time, timeouts.silenceMillis());
        stream.scheduleSilenceCheck();
        return stream;
    }

    private void cancelOnEngine(String attemptId) {
        caller.call("DELETE", attemptUrl(attemptId), "", Bytes.EMPTY, timeouts.callMillis());
    }

    private String attemptUrl(String attemptId) {
        return baseUrl + ATTEMPTS_PATH + "/" + attemptId;
    }

    private static OrderResult toOrderResult(TargetFailure failure) {
        return failure.provesNotRun()
                ? new OrderResult.Refused(failure.detail())
                : new OrderResult.Unknown(failure.detail());
    }
}
