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
    private final MemoryLog memory = new MemoryLog(time, new MemoryLogLimits(1_000, 30_000));
    private final SwallowingLog log = new SwallowingLog();
    private final Heard heard = new Heard();
    private final LogFollower follower = new LogFollower(log, SETTINGS, time, heard);

    @Test
    void recordsComeInOrderAndOnce() {
        follower.start(0);
        for (int i = 0; i < 35; i++) {
            memory.append("control", "r" + i);
            time.advanceMillis(i * 7L);
        }
        time.advanceMillis(1_000);
        assertEquals(35, heard.payloads.size());
        assertEquals("r34", heard.payloads.get(34));
        assertEquals(35, follower.nextOffset());
    }

    /** A partition swallows the answer to a read for good: the follower reads again and misses nothing. */
    @Test
    void aReadWithoutAnAnswerIsMadeAnew() {
        follower.start(0);
        time.advanceMillis(500);
        log.swallowing = true;
        time.advanceMillis(2_500);
        memory.append("control", "r0");
        log.swallowing = false;
        time.advanceMillis(3_000);
        assertEquals(List.of("r0"), heard.payloads);
        assertEquals(1, heard.unavailable);
    }

    /** Records expired while this instance was away: it is told, and goes on at the oldest that is left. */
    @Test
    void expiryIsToldAndReadingGoesOn() {
        memory.append("control", "old");
        time.advanceMillis(40_000);
        memory.append("control", "new");
        follower.start(0);
        time.advanceMillis(1_000);
        assertEquals(1, heard.expired);
        assertEquals(List.of("new"), heard.payloads);
    }

    /** An outage must not turn into a storm of reads, nor a service that answers empty at once. */
    @Test
    void readsArePacedDuringAnOutage() {
        memory.setMode(MemoryLog.Mode.REFUSING);
        follower.start(0);
        time.advanceMillis(10_000);
        assertTrue(log.reads <= 101, () -> "reads: " + log.reads);
        follower.stop();
        int before = log.reads;
        time.advanceMillis(10_000);
        assertEquals(before, log.reads);
    }

    /** Swallows answers while it is told to. */
    private final class SwallowingLog implements LogService {

        private boolean swallowing;
        private int reads;

        @Override
        public CompletionStage<AppendResult> append(String stream, String payload) {
            return memory.append(stream, payload);
        }

        @Override
        public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
            reads++;
            CompletableFuture<ReadResult> answer = new CompletableFuture<>();
            memory.read(stream, fromOffset, maxRecords, waitMillis).whenComplete((result, _failure) -> {
                if (!swallowing) {
                    answer.complete(result);
                }
            });
            return answer;
        }
    }

    /** Notes what it hears. */
    private static final class Heard implements FollowerListener {

        private final List<String> payloads = new ArrayList<>();
        private int expired;
        private int unavailable;

        @Override
        public void onRecords(ReadResult.Records records) {
            records.records().stream().map(LogRecord::payload).forEach(payloads::add);
        }

        @Override
        public void onExpired(ReadResult.Expired _expired) {
            expired++;
        }

        @Override
        public void onUnavailable(String _detail) {
            unavailable++;
        }
    }
}
