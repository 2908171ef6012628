package org.dogwoodwinch.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class MemoryLogTest {

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final MemoryLog log = new MemoryLog(time, new MemoryLogLimits(3, 10_000));

    @Test
    void recordsAreReadInOffsetOrder() {
        append("a");
        append("b");
        assertEquals(new ReadResult.Records(List.of(new LogRecord(0, "a"), new LogRecord(1, "b")), 0, 2), read(0));
    }

    /** The appender hears nothing, yet the record is there for every reader: only reading back decides. */
    @Test
    void aLostAnswerLeavesTheRecordOnTheLog() {
        log.loseAnswers(1);
        assertInstanceOf(AppendResult.Unknown.class, append("a"));
        assertEquals(new ReadResult.Records(List.of(new LogRecord(0, "a")), 0, 1), read(0));
    }

    @Test
    void anOutageRefusesAndNothingTakesEffect() {
        log.setMode(MemoryLog.Mode.REFUSING);
        assertInstanceOf(AppendResult.Refused.class, append("a"));
        assertInstanceOf(ReadResult.Unavailable.class, read(0));
        log.setMode(MemoryLog.Mode.UP);
        assertEquals(new ReadResult.Records(List.of(), 0, 0), read(0));
    }

    @Test
    void theRateCapRefusesUntilTheSecondIsOver() {
        append("a");
        append("b");
        append("c");
        assertInstanceOf(AppendResult.Refused.class, append("d"));
        time.advanceMillis(1_000);
        assertEquals(new AppendResult.Appended(3), append("e"));
    }

    @Test
    void expiredRecordsAreSaidToBeGone() {
        append("a");
        time.advanceMillis(10_000);
        append("b");
        time.advanceMillis(1);
        assertEquals(new ReadResult.Expired(1, 2), read(0));
    }

    @Test
    void aWaitingReadIsAnsweredByTheNextAppend() {
        CompletableFuture<ReadResult> read = log.read("s", 0, 10, 5_000).toCompletableFuture();
        time.advanceMillis(100);
        assertFalse(read.isDone());
        append("a");
        assertTrue(read.isDone());
        assertEquals(new ReadResult.Records(List.of(new LogRecord(0, "a")), 0, 1), read.join());
    }

    private AppendResult append(String payload) {
        CompletableFuture<AppendResult> answer = log.append("s", payload).toCompletableFuture();
        time.advanceMillis(1);
        return answer.join();
    }

    private ReadResult read(long fromOffset) {
        CompletableFuture<ReadResult> answer = log.read("s", fromOffset, 10, 0).toCompletableFuture();
        time.advanceMillis(1);
        return answer.join();
    }
}
