package org.dogwoodwinch.daemon;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.relay.SegmentRecords;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the prompt segments that are held back in a keyed topic of the platform's store, and claims trials there. A claim
 * is an append on the condition that nobody else has written since the topic was read, so of all instances one gets a
 * trial. Confined to one event loop.
 *
 * <p>Failure: all instances are killed at once, and the fleet crashes target after target to find out again what it knew.
 *
 * <p>Load: the topic is read when this process starts, when a segment becomes held back, and for a claim; nothing follows
 * it. In between the instances tell each other.
 */
final class SegmentStore implements SegmentRecords {

    /** The topic in the store. */
    static final String TOPIC = "keyed.segments";

    private static final Logger log = LoggerFactory.getLogger(SegmentStore.class);
    private static final long RETRY_MILLIS = 1_000;
    private static final int FIELDS = 5;

    private final KeyedStream stream;
    private final Function<String, ConditionalLog> logOfKey;
    private final KeyedWriter writer;
    private final TimeSource time;
    private final Map<SegmentId, KeptSegment> kept = new HashMap<>();
    private Consumer<HeldSegment> onRecord = _record -> {};

    /**
     * Creates a store that reads nothing before {@link #start}.
     *
     * @param stream reads the topic, not null
     * @param logOfKey returns the log of the records of a key, not null
     * @param writer removes records, not null
     * @param time clock and timers of the event loop, not null
     */
    SegmentStore(KeyedStream stream, Function<String, ConditionalLog> logOfKey, KeyedWriter writer, TimeSource time) {
        this.stream = Objects.requireNonNull(stream, "stream");
        this.logOfKey = Objects.requireNonNull(logOfKey, "logOfKey");
        this.writer = Objects.requireNonNull(writer, "writer");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Reads all records, and again until the store answers. */
    void start(Consumer<HeldSegment> recordListener) {
        onRecord = Objects.requireNonNull(recordListener, "recordListener");
        restoreAll();
    }

    private void restoreAll() {
        readAll(
                snapshot -> LogEvent.of("segments_restored")
                        .with("count", snapshot.records.size())
                        .info(log),
                reason -> {
                    LogEvent.of("segments_not_restored").with("reason", reason).info(log);
                    time.schedule(RETRY_MILLIS, this::restoreAll);
                });
    }

    /** Writes again what this instance has kept, because the store has come back from a copy that may lack it. */
    void beginEra() {
        kept.keySet().forEach(this::write);
    }

    @Override
    public void keep(HeldSegment held) {
        kept.put(held.segment(), new KeptSegment(held, time.monotonicMillis()));
        write(held.segment());
    }

    /** Writes a record unless the topic has one of the segment already, which may tell of more trials. */
    private void write(SegmentId segment) {
        readAll(
                snapshot -> {
                    KeptSegment keptHere = kept.get(segment);
                    if (keptHere != null && !snapshot.records.containsKey(segment)) {
                        append(
                                keptHere.held().agedBy(time.monotonicMillis() - keptHere.keptMillis()),
                                snapshot.end,
                                appended -> {
                                    if (appended instanceof ConditionalLog.EndOffsetMismatch) {
                                        // Another record was written meanwhile, at times one of this instance.
                                        write(segment);
                                    } else if (!isWrittenIn(snapshot, appended)) {
                                        retryWrite(segment);
                                    }
                                });
                    }
                },
                _reason -> retryWrite(segment));
    }

    private void retryWrite(SegmentId segment) {
        time.schedule(RETRY_MILLIS, () -> {
            if (kept.containsKey(segment)) {
                write(segment);
            }
        });
    }

    @Override
    public void forget(SegmentId segment) {
        kept.remove(segment);
        writer.put(keyOf(segment), Optional.empty()).thenAccept(written -> {
            LogEvent.of("segment_forgotten")
                    .with("segment", segment)
                    .with("written", written)
                    .info(log);
            if (!written) {
                time.schedule(RETRY_MILLIS, () -> {
                    if (!kept.containsKey(segment)) {
                        forget(segment);
                    }
                });
            }
        });
    }

    @Override
    public void claimTrial(HeldSegment held, int trialNumber, Consumer<Boolean> onDecided) {
        readAll(
                snapshot -> {
                    HeldSegment recorded = snapshot.records.get(held.segment());
                    if (recorded != null && recorded.trialsCount() >= trialNumber) {
                        onDecided.accept(false);
                        return;
                    }
                    HeldSegment tried = new HeldSegment(
                            held.segment(), held.crashesCount(), trialNumber, held.lastCrashAgeMillis(), 0);
                    append(tried, snapshot.end, appended -> onDecided.accept(isWrittenIn(snapshot, appended)));
                },
                _reason -> onDecided.accept(false));
    }

    /** Returns whether a record was written to the same state of the store that was read. */
    private static boolean isWrittenIn(Snapshot snapshot, ConditionalLog.Appended appended) {
        return appended instanceof ConditionalLog.Written written
                && LogPosition.era(written.offset()) == LogPosition.era(snapshot.end);
    }

    /** Appends a record on the condition that the topic has not changed since it was read. */
    private void append(HeldSegment held, long expectedEnd, Consumer<ConditionalLog.Appended> onDone) {
        logOfKey.apply(keyOf(held.segment())).append(encode(held), expectedEnd).thenAccept(appended -> {
            LogEvent.of("segment_recorded")
                    .with("segment", held.segment())
                    .with("trials", held.trialsCount())
                    .with("outcome", appended.getClass().getSimpleName())
                    .info(log);
            onDone.accept(appended);
        });
    }

    private void readAll(Consumer<Snapshot> onRead, Consumer<String> onFailed) {
        readFrom(Optional.empty(), new Snapshot(), onRead, onFailed);
    }

    private void readFrom(
            Optional<String> afterKey, Snapshot snapshot, Consumer<Snapshot> onRead, Consumer<String> onFailed) {
        stream.readSnapshotPage(afterKey).thenAccept(result -> {
            if (!(result instanceof ReadResult.Page page)) {
                onFailed.accept(result.toString());
                return;
            }
            page.records()
                    .forEach(record -> decode(record).ifPresent(held -> {
                        snapshot.records.put(held.segment(), held);
                        onRecord.accept(held);
                    }));
            if (afterKey.isEmpty()) {
                // What is written after the first page is then noticed by the append, which expects this end.
                snapshot.end = page.endOffset();
            }
            if (page.hasMore() && !page.records().isEmpty()) {
                String lastKey = page.records().get(page.records().size() - 1).key();
                readFrom(Optional.of(lastKey), snapshot, onRead, onFailed);
            } else {
                onRead.accept(snapshot);
            }
        });
    }

    /** Models and ids of segments come from callers, and may be longer than a key. */
    private static String keyOf(SegmentId segment) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(segment.model(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(segment.id(), StandardCharsets.UTF_8)
                .hash()
                .toString();
    }

    private Bytes encode(HeldSegment held) {
        long lastCrashWallMillis = time.wallMillis() - held.lastCrashAgeMillis();
        return Packing.pack(held, (packer, value) -> {
            packer.packArrayHeader(FIELDS);
            packer.packString(value.segment().model());
            packer.packString(value.segment().id());
            packer.packInt(value.crashesCount());
            packer.packInt(value.trialsCount());
            packer.packLong(lastCrashWallMillis);
        });
    }

    private Optional<HeldSegment> decode(KeyedRecord record) {
        if (record.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Packing.unpack(record.value().get().toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELDS);
                SegmentId segment = new SegmentId(unpacker.unpackString(), unpacker.unpackString());
                int crashesCount = unpacker.unpackInt();
                int trialsCount = unpacker.unpackInt();
                // The clocks of two instances differ, so a crash may seem to lie in the future.
                long ageMillis = Math.max(0, time.wallMillis() - unpacker.unpackLong());
                return new HeldSegment(segment, crashesCount, trialsCount, ageMillis, 0);
            }));
        } catch (IOException e) {
            LogEvent.of("segment_record_not_understood")
                    .with("key", record.key())
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }

    /** A segment that this instance records, with the age of its last crash at a moment. */
    private record KeptSegment(HeldSegment held, long keptMillis) {}

    private static final class Snapshot {
        private final Map<SegmentId, HeldSegment> records = new HashMap<>();
        private long end;
    }
}
