package org.dogwoodwinch.standin.http;

import java.util.Objects;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.external.http.LogWire;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.target.http.HttpCaller;
import org.dogwoodwinch.target.http.RefusalBody;
import org.dogwoodwinch.target.http.TargetJson;

/** Serves a stand-in log over HTTP: {@code /streams/NAME/records}. */
final class LogHttpService implements StandInService {

    private static final String STREAMS = "/streams/";
    private static final String RECORDS = "/records";
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY = 429;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int NO_CONTENT = 204;

    private final MemoryLog store;

    /**
     * Creates a service.
     *
     * @param store the log, not null
     */
    LogHttpService(MemoryLog store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    @Override
    public void handle(StandInCall call, StandInReply reply) {
        String path = call.path();
        if (path.startsWith("/test/mode/")) {
            store.setMode(MemoryLog.Mode.valueOf(path.substring("/test/mode/".length())));
            reply.whole(NO_CONTENT, "text/plain", new byte[0]);
            return;
        }
        if (!path.startsWith(STREAMS) || !path.endsWith(RECORDS)) {
            reply.whole(NOT_FOUND, "text/plain", new byte[0]);
            return;
        }
        String stream = path.substring(STREAMS.length(), path.length() - RECORDS.length());
        if (call.method().equals("POST")) {
            store.append(stream, call.body().toUtf8()).whenComplete((result, _error) -> writeAppend(result, reply));
            return;
        }
        store.read(stream, call.number("from", 0), (int) call.number("max", 1_000), call.number("waitMillis", 0))
                .whenComplete((result, _error) -> writeRead(result, reply));
    }

    private static void writeAppend(AppendResult result, StandInReply reply) {
        if (result instanceof AppendResult.Appended appended) {
            reply.json(new LogWire.AppendAnswer(appended.offset()));
        } else if (result instanceof AppendResult.Refused refused) {
            reply.refuse(new RefusalBody(
                    TOO_MANY, "refused", RefusalBody.NOT_RUN, refused.detail(), refused.retryAfterMillis()));
        } else {
            reply.cut();
        }
    }

    private static void writeRead(ReadResult result, StandInReply reply) {
        if (result instanceof ReadResult.Records found) {
            reply.json(new LogWire.ReadAnswer(found.records(), found.firstRetainedOffset(), found.endOffset()));
        } else if (result instanceof ReadResult.Expired expired) {
            LogWire.ReadAnswer answer =
                    new LogWire.ReadAnswer(null, expired.firstRetainedOffset(), expired.endOffset());
            reply.whole(GONE, HttpCaller.JSON, TargetJson.write(answer));
        } else {
            reply.whole(UNAVAILABLE, "text/plain", new byte[0]);
        }
    }
}
