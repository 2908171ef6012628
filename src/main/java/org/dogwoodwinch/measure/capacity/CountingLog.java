package org.dogwoodwinch.measure.capacity;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;

/** Counts what passes between instances and the log; for runs on one thread. */
final class CountingLog implements LogService {

    private final LogService behind;
    private long appendCount;
    private long appendedBytes;
    private long readCount;
    private long readBytes;

    /**
     * Creates a counter that stands at zero.
     *
     * @param behind the log, not null
     */
    CountingLog(LogService behind) {
        this.behind = Objects.requireNonNull(behind, "behind");
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        appendCount++;
        appendedBytes += payload.getBytes(StandardCharsets.UTF_8).length;
        return behind.append(stream, payload);
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        return behind.read(stream, fromOffset, maxRecords, waitMillis).thenApply(this::count);
    }

    /** Sets all counts back to zero. */
    void reset() {
        appendCount = 0;
        appendedBytes = 0;
        readCount = 0;
        readBytes = 0;
    }

    long appendCount() {
        return appendCount;
    }

    long appendedBytes() {
        return appendedBytes;
    }

    long readCount() {
        return readCount;
    }

    long readBytes() {
        return readBytes;
    }

    private ReadResult count(ReadResult result) {
        readCount++;
        if (result instanceof ReadResult.Records found) {
            found.records().forEach(record -> readBytes += record.payload().getBytes(StandardCharsets.UTF_8).length);
        }
        return result;
    }
}
