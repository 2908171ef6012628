package org.dogwoodwinch.measure.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.HdrHistogram.Histogram;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.request.ClaimIndex;
import org.dogwoodwinch.request.ClaimOutcome;
import org.dogwoodwinch.request.ClaimRequest;
import org.dogwoodwinch.request.LogClaimStore;
import org.dogwoodwinch.request.RequestSettings;
import org.dogwoodwinch.request.StoredAnswer;
import org.dogwoodwinch.request.StreamPointer;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.MemoryLogLimits;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Claims at a steady rate through several instances on one log: appends, bytes and how long a claim takes. */
final class ClaimTrial {

    /** What one trial found. */
    record Found(
            double appendsPerSecond,
            double claimsPerAppend,
            double bytesPerClaim,
            double medianMillis,
            double p99Millis,
            int refused) {}

    private static final int MAX_KEYS = 1_000_000;
    private static final int KEPT_TEXT_BYTES = 200;
    private static final long LOG_ANSWER_MILLIS = 5;

    private ClaimTrial() {}

    static Found run(int instances, int claimsPerSecond, long windowMillis, int seconds) {
        VirtualTimeSource time = new VirtualTimeSource(0);
        MemoryLog memoryLog = new MemoryLog(time, MemoryLogLimits.STANDARD);
        memoryLog.setAnswerMillis(LOG_ANSWER_MILLIS);
        CountingLog counting = new CountingLog(memoryLog);
        RequestSettings settings = RequestSettings.DEFAULT;
        List<LogClaimStore> ledgers = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            LogClaimStore ledger = new LogClaimStore(
                    counting,
                    time,
                    "entry-" + i + "~1",
                    settings.claimTimeoutMillis(),
                    windowMillis,
                    new ClaimIndex(settings.keyMemoryMillis(), MAX_KEYS),
                    _writer -> true);
            ledger.start();
            ledgers.add(ledger);
        }
        Claimant claimant = new Claimant(time);
        int claims = claimsPerSecond * seconds;
        for (int i = 0; i < claims; i++) {
            claimant.claim(ledgers.get(i % instances), i);
            long dueMillis = (long) (i + 1) * 1_000 / claimsPerSecond;
            time.advanceMillis(dueMillis - time.monotonicMillis());
        }
        time.advanceMillis(5_000);
        return new Found(
                memoryLog.appendCount() / (double) seconds,
                claims / (double) memoryLog.appendCount(),
                counting.bytes / (double) claims,
                claimant.waits.getValueAtPercentile(50),
                claimant.waits.getValueAtPercentile(99),
                claimant.refused);
    }

    /** Claims keys, and records an answer for each won one. */
    private static final class Claimant {

        private final VirtualTimeSource time;
        private final Histogram waits = new Histogram(3);
        private final String text = "x".repeat(KEPT_TEXT_BYTES);
        private int refused;

        Claimant(VirtualTimeSource time) {
            this.time = time;
        }

        void claim(LogClaimStore ledger, int number) {
            long askedMillis = time.monotonicMillis();
            String key = String.format("%032x", number);
            StreamPointer pointer = new StreamPointer("engine-" + number % 11, "1k2j3h4g5f-" + number);
            ledger.claim(new ClaimRequest(key, number, pointer), outcome -> {
                if (outcome instanceof ClaimOutcome.Acquired won) {
                    waits.recordValue(time.monotonicMillis() - askedMillis);
                    ledger.recordAnswer(
                            won.claimId(), new StoredAnswer.Generated(text, new TokenUsage(10, 0, 50), "stop"));
                } else {
                    refused++;
                }
            });
        }
    }

    /** Counts the bytes of appends. */
    private static final class CountingLog implements LogService {

        private final LogService service;
        private long bytes;

        CountingLog(LogService service) {
            this.service = service;
        }

        @Override
        public CompletionStage<AppendResult> append(String stream, String payload) {
            bytes += payload.length();
            return service.append(stream, payload);
        }

        @Override
        public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
            return service.read(stream, fromOffset, maxRecords, waitMillis);
        }
    }
}
