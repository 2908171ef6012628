package org.dogwoodwinch.external.http;

import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.http.HttpCaller;
import org.dogwoodwinch.target.http.TargetJson;

/**
 * The platform's log over HTTP.
 *
 * <p>An append is taken as refused only where no byte was sent or the service said that it did nothing; everything else
 * is unknown, since the record may be on the log.
 */
public final class HttpLogService implements LogService {

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final long CALL_MILLIS = 3_000;

    private final HttpCaller caller;
    private final String base;

    /**
     * Creates the adapter.
     *
     * @param caller sends the calls, not null
     * @param baseUrl where the service is, such as {@code http://127.0.0.1:9000}, not null
     */
    public HttpLogService(HttpCaller caller, String baseUrl) {
        this.caller = Objects.requireNonNull(caller, "caller");
        this.base = Objects.requireNonNull(baseUrl, "baseUrl") + "/streams/";
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        return caller.call("POST", recordsUrl(stream), HttpCaller.JSON, Bytes.ofUtf8(payload), CALL_MILLIS)
                .thenApply(reply -> reply.match(HttpLogService::appended, HttpLogService::failedAppend));
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        String url = recordsUrl(stream) + "?from=" + fromOffset + "&max=" + maxRecords + "&waitMillis=" + waitMillis;
        return caller.call("GET", url, "", Bytes.EMPTY, CALL_MILLIS + waitMillis)
                .thenApply(HttpLogService::readResult);
    }

    private String recordsUrl(String stream) {
        return base + stream + "/records";
    }

    private static AppendResult appended(ServiceAnswer answer) {
        if (answer.status() != OK) {
            return new AppendResult.Unknown("status " + answer.status());
        }
        return TargetJson.read(answer.body().toByteArray(), LogWire.AppendAnswer.class)
                .<AppendResult>map(value -> new AppendResult.Appended(value.offset()))
                .orElseGet(() -> new AppendResult.Unknown("malformed answer"));
    }

    private static AppendResult failedAppend(TargetFailure failure) {
        if (failure instanceof TargetFailure.Refused refused) {
            return new AppendResult.Refused(refused.detail(), refused.retryAfterMillis());
        }
        return failure.provesNotRun()
                ? new AppendResult.Refused(failure.detail(), 0)
                : new AppendResult.Unknown(failure.detail());
    }

    private static ReadResult readResult(TargetReply<ServiceAnswer> reply) {
        return reply.match(HttpLogService::read, failure -> new ReadResult.Unavailable(failure.detail()));
    }

    private static ReadResult read(ServiceAnswer answer) {
        if (answer.status() != OK && answer.status() != GONE) {
            return new ReadResult.Unavailable("status " + answer.status());
        }
        return TargetJson.read(answer.body().toByteArray(), LogWire.ReadAnswer.class)
                .map(value -> toResult(answer.status(), value))
                .orElseGet(() -> new ReadResult.Unavailable("malformed answer"));
    }

    private static ReadResult toResult(int status, LogWire.ReadAnswer value) {
        if (status == GONE) {
            return new ReadResult.Expired(value.firstRetainedOffset(), value.endOffset());
        }
        if (value.records() == null) {
            return new ReadResult.Unavailable("malformed answer");
        }
        return new ReadResult.Records(value.records(), value.firstRetainedOffset(), value.endOffset());
    }
}
