package org.dogwoodwinch.measure.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.control.ControlCodec;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.TimeSource;

/** A log that notes what is appended through it. Not thread-safe: for virtual time. */
final class CountingLog implements LogService {

    private final LogService log;
    private final TimeSource time;
    private final ControlCodec codec = new ControlCodec();
    private final List<Append> appends = new ArrayList<>();

    CountingLog(LogService log, TimeSource time) {
        this.log = Objects.requireNonNull(log, "log");
        this.time = Objects.requireNonNull(time, "time");
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        appends.add(new Append(
                time.monotonicMillis(), payload.length(), codec.decode(payload).orElseThrow()));
        return log.append(stream, payload);
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        return log.read(stream, fromOffset, maxRecords, waitMillis);
    }

    /**
     * Returns what was appended since a time.
     *
     * @param sinceMillis the time
     * @return the appends in order
     */
    List<Append> since(long sinceMillis) {
        return appends.stream().filter(each -> each.atMillis() >= sinceMillis).toList();
    }

    /**
     * One append.
     *
     * @param atMillis when
     * @param bytes its length
     * @param record what
     */
    record Append(long atMillis, int bytes, ControlRecord record) {}
}
