package org.dogwoodwinch.controllog;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class LogFollowerTest {

    private static final FollowerSettings SETTINGS = new FollowerSettings("control", 10, 2_000, 100, 500);

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final MemoryLog memoryLog = new MemoryLog(time, new MemoryLogLimits(1_000, 30_000));
    private final AnswerDroppingLog log = new AnswerDroppingLog();
    private final RecordingListener listener = new RecordingListener();
    private final LogFollower follower = new LogFollower(log, SETTINGS, time, listener);

    @Test
    void recordsAreDeliveredInOrderAndOnce() {
        follower.start(0);
        for (int i = 0; i < 35; i++) {
            memoryLog.append("control", "r" + i);
            time.advanceMillis(i * 7L);
        }
        time.advanceMillis(1_000);
        assertEquals(35, listener.payloads.size());
        assertEquals("r34", listener.payloads.get(34));
        assertEquals(35, follower.nextOffset());
    }

    /** Guards against a follower that waits forever after a partition has dropped the answer to a read. */
    @Test
    void unansweredReadIsRepeated() {
        follower.start(0);
        time.advanceMillis(500);
        log.droppingAnswers = true;
        time.advanceMillis(2_500);
        memoryLog.append("control", "r0");
        log.droppingAnswers = false;
        time.advanceMillis(3_000);
        assertEquals(List.of("r0"), listener.payloads);
        assertEquals(1, listener.unavailableCount);
    }

    /** Records that expired before they were read are reported, and reading continues at the oldest retained record. */
    @Test
    void expiryIsReportedAndReadingContinues() {
        memoryLog.append("control", "old");
        time.advanceMillis(40_000);
        memoryLog.append("control", "new");
        follower.start(0);
        time.advanceMillis(1_000);
        assertEquals(1, listener.expiredCount);
        assertEquals(List.of("new"), listener.payloads);
    }

    /** Guards against a busy loop of reads while the log refuses them. */
    @Test
    void readsArePacedDuringOutage() {
        memoryLog.setMode(MemoryLog.Mode.REFUSING);
        follower.start(0);
        time.advanceMillis(10_000);
        assertTrue(log.readCount <= 101, () -> "reads: " + log.readCount);
        follower.stop();
        int readsBeforeStop = log.readCount;
        time.advanceMillis(10_000);
        assertEquals(readsBeforeStop, log.readCount);
    }

    /** Drops the answers to reads while {@code droppingAnswers} is set. */
    private final class AnswerDroppingLog implements LogService {

        private boolean droppingAnswers;
        private int readCount;

        @Override
        public CompletionStage<AppendResult> append(String stream, String payload) {
            return memoryLog.append(stream, payload);
        }

        @Override
        public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
            readCount++;
            CompletableFuture<ReadResult> answer = new CompletableFuture<>();
            memoryLog.read(stream, fromOffset, maxRecords, waitMillis).whenComplete((result, _failure) -> {
                if (!droppingAnswers) {
                    answer.complete(result);
                }
            });
            return answer;
        }
    }

    /** Records what the follower reports. */
    private static final class RecordingListener implements FollowerListener {

        private final List<String> payloads = new ArrayList<>();
        private int expiredCount;
        private int unavailableCount;

        @Override
        public void onRecords(ReadResult.Records records) {
            records.records().stream().map(LogRecord::payload).forEach(payloads::add);
        }

        @Override
        public void onExpired(ReadResult.Expired _expired) {
            expiredCount++;
        }

        @Override
        public void onUnavailable(String _detail) {
            unavailableCount++;
        }
    }
}
