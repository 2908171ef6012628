package org.dogwoodwinch.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.ReadResult;

/** One stream of a {@link MemoryLog}; its owner guards it. */
final class MemoryLogStream {

    private final Consumer<Runnable> later;
    private final List<LogRecord> records = new ArrayList<>();
    private final List<Long> appendedMillis = new ArrayList<>();
    private final List<Runnable> waiters = new ArrayList<>();
    private long firstRetainedOffset;
    private long endOffset;

    MemoryLogStream(Consumer<Runnable> later) {
        this.later = later;
    }

    long append(String payload, long nowMillis) {
        long offset = endOffset++;
        records.add(new LogRecord(offset, payload));
        appendedMillis.add(nowMillis);
        waiters.forEach(later);
        waiters.clear();
        return offset;
    }

    void addWaiter(Runnable waiter) {
        waiters.add(waiter);
    }

    void expireBefore(long oldestMillis) {
        int expired = 0;
        while (expired < records.size() && appendedMillis.get(expired) < oldestMillis) {
            expired++;
        }
        records.subList(0, expired).clear();
        appendedMillis.subList(0, expired).clear();
        firstRetainedOffset += expired;
    }

    ReadResult read(long fromOffset, int maxRecords) {
        if (fromOffset < firstRetainedOffset) {
            return new ReadResult.Expired(firstRetainedOffset, endOffset);
        }
        int start = (int) Math.min(records.size(), fromOffset - firstRetainedOffset);
        int end = Math.min(records.size(), start + maxRecords);
        return new ReadResult.Records(records.subList(start, end), firstRetainedOffset, endOffset);
    }
}
