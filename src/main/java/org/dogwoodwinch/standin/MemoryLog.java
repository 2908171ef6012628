package org.dogwoodwinch.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.ReadResult;
import org.dogwoodwinch.time.TimeSource;

/**
 * The platform's log in memory, with the failures that the real one has: outages, lost answers, a rate cap, expiry.
 *
 * <p>Answers come through the time source's timers, never inline. Thread-safe.
 */
public final class MemoryLog implements LogService {

    private static final long RATE_WINDOW_MILLIS = 1_000;

    /** How the log answers. */
    public enum Mode {
        /** It works. */
        UP,
        /** It refuses at once, and nothing takes effect. */
        REFUSING,
        /** It does not answer: appends are unknown and had no effect, reads are unavailable. */
        SILENT
    }

    private final TimeSource time;
    private final MemoryLogLimits limits;
    private final Map<String, MemoryLogStream> streams = new HashMap<>();
    private final Deque<Long> recentAppendMillis = new ArrayDeque<>();
    private Mode mode = Mode.UP;
    private long answerMillis = 1;
    private int answersToLose;
    private long appendCount;

    /**
     * Creates an empty log.
     *
     * @param time gives the time and carries the answers, not null
     * @param limits the rate cap and the retention, not null
     */
    public MemoryLog(TimeSource time, MemoryLogLimits limits) {
        this.time = Objects.requireNonNull(time, "time");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, String payload) {
        Objects.requireNonNull(payload, "payload");
        CompletableFuture<AppendResult> answer = new CompletableFuture<>();
        AppendResult result = appendNow(stream, payload);
        time.schedule(answerDelayMillis(), () -> answer.complete(result));
        return answer;
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
        CompletableFuture<ReadResult> answer = new CompletableFuture<>();
        long delayMillis = answerDelayMillis();
        time.schedule(delayMillis, () -> readOrWait(stream, fromOffset, maxRecords, waitMillis, answer));
        return answer;
    }

    /**
     * Changes how the log answers from now on.
     *
     * @param newMode the mode, not null
     */
    public synchronized void setMode(Mode newMode) {
        mode = Objects.requireNonNull(newMode, "newMode");
    }

    /**
     * Makes the next appends take effect while their answers are lost.
     *
     * @param count how many
     */
    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /**
     * Changes how long an answer takes.
     *
     * @param millis milliseconds, zero or more
     */
    public synchronized void setAnswerMillis(long millis) {
        answerMillis = millis;
    }

    /**
     * Returns how many appends took effect.
     *
     * @return the count since the start, over all streams
     */
    public synchronized long appendCount() {
        return appendCount;
    }

    private synchronized long answerDelayMillis() {
        return answerMillis;
    }

    private synchronized AppendResult appendNow(String stream, String payload) {
        if (mode == Mode.REFUSING) {
            return new AppendResult.Refused("the log is out", RATE_WINDOW_MILLIS);
        }
        if (mode == Mode.SILENT) {
            return new AppendResult.Unknown("the log did not answer");
        }
        long nowMillis = time.monotonicMillis();
        if (!takeRatePlace(nowMillis)) {
            return new AppendResult.Refused("too many appends a second", RATE_WINDOW_MILLIS);
        }
        appendCount++;
        long offset = streamOf(stream).append(payload, nowMillis);
        if (answersToLose > 0) {
            answersToLose--;
            return new AppendResult.Unknown("the answer was lost");
        }
        return new AppendResult.Appended(offset);
    }

    private boolean takeRatePlace(long nowMillis) {
        while (!recentAppendMillis.isEmpty() && recentAppendMillis.peekFirst() <= nowMillis - RATE_WINDOW_MILLIS) {
            recentAppendMillis.removeFirst();
        }
        if (recentAppendMillis.size() >= limits.maxAppendsPerSecond()) {
            return false;
        }
        recentAppendMillis.addLast(nowMillis);
        return true;
    }

    private void readOrWait(
            String stream, long fromOffset, int maxRecords, long waitMillis, CompletableFuture<ReadResult> answer) {
        ReadResult result = readNow(stream, fromOffset, maxRecords);
        boolean isEmpty =
                result instanceof ReadResult.Records found && found.records().isEmpty();
        if (!isEmpty || waitMillis <= 0) {
            answer.complete(result);
            return;
        }
        synchronized (this) {
            streamOf(stream).addWaiter(() -> answer.complete(readNow(stream, fromOffset, maxRecords)));
        }
        time.schedule(waitMillis, () -> answer.complete(readNow(stream, fromOffset, maxRecords)));
    }

    private synchronized ReadResult readNow(String stream, long fromOffset, int maxRecords) {
        if (mode != Mode.UP) {
            return new ReadResult.Unavailable("the log is out");
        }
        MemoryLogStream found = streamOf(stream);
        found.expireBefore(time.monotonicMillis() - limits.retentionMillis());
        return found.read(fromOffset, maxRecords);
    }

    private MemoryLogStream streamOf(String stream) {
        return streams.computeIfAbsent(stream, _name -> new MemoryLogStream(task -> time.schedule(0, task)));
    }
}
