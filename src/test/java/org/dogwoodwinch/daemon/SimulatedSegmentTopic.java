package org.dogwoodwinch.daemon;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.time.VirtualTimeSource;

/** The topic of segments in a simulated store that may be unavailable. */
final class SimulatedSegmentTopic {

    private static final long ANSWER_MILLIS = 4;
    private static final long TIMEOUT_MILLIS = 700;

    private final VirtualTimeSource time;
    private final Map<String, KeyedRecord> newest = new LinkedHashMap<>();
    private long end;
    boolean isDown;
    int callsCount;

    SimulatedSegmentTopic(VirtualTimeSource time) {
        this.time = time;
    }

    /** Returns the store as one instance sees it, which may be cut off. */
    SegmentStore connect(BooleanSupplier isCutOff) {
        return new SegmentStore(
                new KeyedStream() {
                    @Override
                    public CompletionStage<ReadResult> readSnapshotPage(Optional<String> _afterKey) {
                        return answer(
                                isCutOff,
                                () -> new ReadResult.Page(new ArrayList<>(newest.values()), false, end),
                                new ReadResult.Unavailable("timeout"));
                    }

                    @Override
                    public CompletionStage<ReadResult> read(long _fromOffset, long _waitMillis) {
                        throw new UnsupportedOperationException("nothing follows the topic");
                    }
                },
                key -> (content, expectedEnd) ->
                        answer(isCutOff, () -> append(key, content, expectedEnd), (ConditionalLog.Appended)
                                new ConditionalLog.Unknown("timeout")),
                (key, value) -> answer(
                        isCutOff,
                        () -> {
                            end++;
                            newest.remove(key);
                            return value.isEmpty();
                        },
                        false),
                time);
    }

    private ConditionalLog.Appended append(String key, Bytes content, long expectedEnd) {
        if (expectedEnd != end) {
            return new ConditionalLog.EndOffsetMismatch(end);
        }
        newest.put(key, new KeyedRecord(key, end, Optional.of(content)));
        return new ConditionalLog.Written(end++);
    }

    private <T> CompletionStage<T> answer(BooleanSupplier isCutOff, Supplier<T> result, T unavailable) {
        callsCount++;
        CompletableFuture<T> answer = new CompletableFuture<>();
        if (isDown || isCutOff.getAsBoolean()) {
            time.schedule(TIMEOUT_MILLIS, () -> answer.complete(unavailable));
        } else {
            T done = result.get();
            time.schedule(ANSWER_MILLIS, () -> answer.complete(done));
        }
        return answer;
    }

    /** Loses all records, as a store that comes back from an older copy. */
    void loseAll() {
        newest.clear();
        end = 0;
    }
}
