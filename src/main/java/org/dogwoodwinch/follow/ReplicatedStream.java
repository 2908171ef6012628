package org.dogwoodwinch.follow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A keyed stream that one instance of a data centre reads and tells the others. Used on one thread alone.
 *
 * <p>Failure: where each instance reads for itself, calls to the platform grow with the fleet until they cost more than
 * the traffic earns. Here an instance reads only while nobody before it in the order of succession says, of late, that it
 * does. A word stands for as long as the publisher's own contact with the platform is recent: a publisher that is cut off from
 * the platform, frozen, behind or gone holds nobody back longer than that, and the next ones take over one after the
 * other. Records carry their offsets, so two that both tell, or one that tells late, do no harm: what was read already is
 * passed over, and a gap is closed by a reading of one's own.
 *
 * <p>Failure: an instance that starts while the platform turns it away knows nothing and refuses every call, though its
 * neighbours have all that it needs. What a neighbour knows whole stands for the first reading, whichever comes first.
 * Where all of a data centre is turned away, the word of another one's reader is used and passed on.
 *
 * <p>Load: targets renew their entries every second or so, which says nothing new. Sent to each instance and taken apart
 * there, that was a third of what the messages of an idle fleet cost. The reader leaves such records out of its word, and
 * a word that has nothing else waits until the next is due as a sign of life.
 */
public final class ReplicatedStream implements KeyedStream {

    private static final Logger log = LoggerFactory.getLogger(ReplicatedStream.class);

    /** Records that are kept for followers that are a word behind; a storm of changes brings some tens a second. */
    private static final int MAX_BACKLOG_RECORDS = 256;

    /** A reader's sign of life where nothing is new: twice within the time that a word stands. */
    private static final int HEARTBEATS_PER_STALENESS_BOUND = 2;

    private final String name;
    private final KeyedStream platform;
    private final ReplicaPolicy policy;
    private final TimeSource time;
    private final IntSupplier ownRank;
    private final Publisher publisher;
    private final RedundantRecordTracker redundantRecords;
    private final Deque<KeyedRecord> backlog = new ArrayDeque<>();
    private final Map<String, KeyedRecord> delivered = new LinkedHashMap<>();
    private long deliveredEndOffset = -1;
    private boolean snapshotDelivered;
    private long backlogFirstOffset = -1;
    private long backlogEndOffset = -1;
    private long otherReaderFreshUntilMillis = Long.MIN_VALUE;
    private long lastContactMillis = Long.MIN_VALUE;
    private long lastPublishMillis = Long.MIN_VALUE;
    private long unpublishedFromOffset = -1;
    private Optional<PendingRead> pendingRead = Optional.empty();
    private Optional<CompletableFuture<ReadResult>> pendingSnapshotRead = Optional.empty();
    private Optional<StreamUpdate> receivedSnapshot = Optional.empty();
    private long receivedSnapshotUntilMillis = Long.MIN_VALUE;

    /**
     * Creates a stream.
     *
     * @param name the stream's name, not null
     * @param platform reads it from the platform, not null
     * @param policy the times, not null
     * @param time the clock and timers, not null
     * @param ownRank this instance's place in the order of succession of its data centre, zero is the first, not null
     * @param publisher tells the others, not null
     * @param stateFunction what a record says; two that say the same are equal, not null
     */
    public ReplicatedStream(
            String name,
            KeyedStream platform,
            ReplicaPolicy policy,
            TimeSource time,
            IntSupplier ownRank,
            Publisher publisher,
            Function<KeyedRecord, Object> stateFunction) {
        this.name = Objects.requireNonNull(name, "name");
        this.platform = Objects.requireNonNull(platform, "platform");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.ownRank = Objects.requireNonNull(ownRank, "ownRank");
        this.publisher = Objects.requireNonNull(publisher, "publisher");
        this.redundantRecords = new RedundantRecordTracker(stateFunction, MAX_BACKLOG_RECORDS);
    }

    /** Tells other instances, and asks them. */
    public interface Publisher {

        /**
         * Tells a word.
         *
         * @param update the word, not null
         * @param ownReading whether it was read here: it is for the other data centres too; what came from one of them is
         *     for the own one alone, or two that both fail would pass it to each other for ever
         */
        void tell(StreamUpdate update, boolean ownReading);

        /** Asks others for all that they know: the platform did not answer the first reading. */
        void want();
    }

    @Override
    public CompletionStage<ReadResult> newest(Optional<String> afterKey) {
        CompletableFuture<ReadResult> result = new CompletableFuture<>();
        if (afterKey.isEmpty()) {
            pendingSnapshotRead = Optional.of(result);
            if (receivedSnapshot.isPresent() && time.monotonicMillis() < receivedSnapshotUntilMillis) {
                completeSnapshotRead(receivedSnapshot.get());
                return result;
            }
        }
        platform.newest(afterKey).thenAccept(page -> {
            if (!(page instanceof ReadResult.Unavailable)) {
                lastContactMillis = time.monotonicMillis();
            }
            if (!result.isDone()) {
                pendingSnapshotRead = Optional.empty();
                if (page instanceof ReadResult.Unavailable) {
                    publisher.want();
                }
                deliveredPage(afterKey, page);
                result.complete(page);
            }
        });
        return result;
    }

    @Override
    public CompletionStage<ReadResult> read(long fromOffset, long waitMillis) {
        Optional<ReadResult> known = readBacklog(fromOffset);
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(delivered(known.get()));
        }
        PendingRead newRead = new PendingRead(fromOffset, waitMillis);
        pendingRead = Optional.of(newRead);
        if (!isCoveredByOtherReader() || fromOffset < backlogEndOffset) {
            readPlatform(newRead, isCoveredByOtherReader() ? 0 : waitMillis);
        } else {
            scheduleTakeover(newRead);
        }
        return newRead.result;
    }

    /**
     * Hears another instance of the data centre.
     *
     * @param update what it says, not null
     * @param fromPredecessor whether it stands before this instance in the order of succession
     */
    public void heard(StreamUpdate update, boolean fromPredecessor) {
        if (fromPredecessor) {
            long until = time.monotonicMillis() - update.contactAgeMillis() + policy.freshMillis();
            otherReaderFreshUntilMillis = Math.max(otherReaderFreshUntilMillis, until);
        }
        apply(update);
    }

    /**
     * Hears a reader of another data centre. Its word is needed where this data centre's own readings fail, and is then
     * passed on; otherwise the data centre's own reading is as good and does not cross a border.
     *
     * @param update what it says, not null
     */
    public void heardAbroad(StreamUpdate update) {
        long currentAgeMillis = ageMillis();
        boolean ownReadsFail = currentAgeMillis < 0 || currentAgeMillis > policy.freshMillis();
        apply(update);
        if (ownReadsFail && !isCoveredByOtherReader() && !update.whole()) {
            publisher.tell(update, false);
        }
    }

    /**
     * Returns all that this instance has taken in.
     *
     * @return the newest record of each key, empty before the first whole reading
     */
    public Optional<StreamUpdate> whole() {
        if (!snapshotDelivered) {
            return Optional.empty();
        }
        List<KeyedRecord> records = List.copyOf(delivered.values());
        long ageMillis = ageMillis();
        return Optional.of(new StreamUpdate(
                name,
                true,
                records,
                deliveredEndOffset,
                deliveredEndOffset,
                ageMillis < 0 ? StreamUpdate.UNKNOWN_AGE_MILLIS : ageMillis));
    }

    /**
     * Returns how old what this instance knows may be.
     *
     * @return milliseconds since the platform answered the reader that this instance relies on; -1 before any answer
     */
    public long ageMillis() {
        long nowMillis = time.monotonicMillis();
        long otherReaderContactMillis = otherReaderFreshUntilMillis == Long.MIN_VALUE
                ? Long.MIN_VALUE
                : otherReaderFreshUntilMillis - policy.freshMillis();
        long lastAnyContactMillis = Math.max(lastContactMillis, otherReaderContactMillis);
        return lastAnyContactMillis == Long.MIN_VALUE ? -1 : Math.max(0, nowMillis - lastAnyContactMillis);
    }

    private void apply(StreamUpdate update) {
        if (update.whole()) {
            receivedSnapshot = Optional.of(update);
            receivedSnapshotUntilMillis = time.monotonicMillis() + policy.freshMillis();
            if (pendingSnapshotRead.isPresent()) {
                completeSnapshotRead(update);
            }
            return;
        }
        addToBacklog(update.records(), update.firstOffset(), update.nextOffset());
        pendingRead.ifPresent(this::completeFromBacklog);
    }

    /** A reading of one's own that is under way is left alone while the platform answers: its answer is on the way. */
    private void completeFromBacklog(PendingRead read) {
        if (read.readingPlatform && lastContactMillis > time.monotonicMillis() - policy.freshMillis()) {
            return;
        }
        Optional<ReadResult> known = readBacklog(read.fromOffset);
        if (known.isPresent()) {
            complete(read, known.get());
        } else if (!read.readingPlatform && read.fromOffset < backlogEndOffset) {
            read.timer.cancel();
            readPlatform(read, 0);
        }
    }

    private void completeSnapshotRead(StreamUpdate update) {
        CompletableFuture<ReadResult> snapshotRead = pendingSnapshotRead.orElseThrow();
        pendingSnapshotRead = Optional.empty();
        receivedSnapshot = Optional.empty();
        ReadResult.Page page = new ReadResult.Page(update.records(), false, update.nextOffset());
        deliveredPage(Optional.empty(), page);
        LogEvent.of("stream_told_whole")
                .with("stream", name)
                .with("records", update.records().size())
                .with("offset", update.nextOffset())
                .with("ageMillis", update.contactAgeMillis())
                .info(log);
        snapshotRead.complete(page);
    }

    /** Whether another instance's word stands for a reading of one's own. */
    private boolean isCoveredByOtherReader() {
        return time.monotonicMillis() < takeoverMillis();
    }

    private long takeoverMillis() {
        return otherReaderFreshUntilMillis == Long.MIN_VALUE
                ? Long.MIN_VALUE
                : otherReaderFreshUntilMillis + policy.takeoverDelayMillis(ownRank.getAsInt());
    }

    private void scheduleTakeover(PendingRead read) {
        long remainingMillis = takeoverMillis() - time.monotonicMillis();
        read.timer = time.schedule(Math.max(1, remainingMillis), () -> {
            if (isCoveredByOtherReader()) {
                scheduleTakeover(read);
            } else {
                readPlatform(read, read.waitMillis);
            }
        });
    }

    private void complete(PendingRead read, ReadResult result) {
        read.timer.cancel();
        pendingRead = pendingRead.filter(other -> other != read);
        if (!read.result.isDone()) {
            read.result.complete(delivered(result));
        }
    }

    private void readPlatform(PendingRead read, long waitMillis) {
        read.readingPlatform = true;
        platform.read(read.fromOffset, waitMillis).thenAccept(result -> {
            if (!(result instanceof ReadResult.Unavailable)) {
                lastContactMillis = time.monotonicMillis();
            }
            if (result instanceof ReadResult.Batch batch) {
                boolean changed = redundantRecords.observe(read.fromOffset, batch.nextOffset(), batch.records());
                addToBacklog(batch.records(), read.fromOffset, batch.nextOffset());
                publishBatch(read.fromOffset, batch.nextOffset(), changed);
            }
            complete(read, result);
        });
    }

    /** News at once; a sign of life, which says up to where there was none, before the last word is too old. */
    private void publishBatch(long fromOffset, long nextOffset, boolean changed) {
        if (isCoveredByOtherReader()) {
            unpublishedFromOffset = -1;
            return;
        }
        if (unpublishedFromOffset < 0 || unpublishedFromOffset > fromOffset) {
            unpublishedFromOffset = fromOffset;
        }
        boolean isHeartbeatDue = lastPublishMillis == Long.MIN_VALUE
                || time.monotonicMillis() - lastPublishMillis >= policy.freshMillis() / HEARTBEATS_PER_STALENESS_BOUND;
        if (!changed && !isHeartbeatDue) {
            return;
        }
        long firstOffset = Math.max(unpublishedFromOffset, backlogFirstOffset);
        List<KeyedRecord> records = backlog.stream()
                .filter(record -> record.offset() >= firstOffset && !redundantRecords.isRedundant(record.offset()))
                .toList();
        lastPublishMillis = time.monotonicMillis();
        unpublishedFromOffset = -1;
        publisher.tell(new StreamUpdate(name, false, records, firstOffset, nextOffset, 0), true);
    }

    private void addToBacklog(List<KeyedRecord> records, long firstOffset, long endOffset) {
        if (endOffset <= backlogEndOffset) {
            return;
        }
        if (firstOffset > backlogEndOffset || backlogFirstOffset < 0) {
            backlog.clear();
            backlogFirstOffset = firstOffset;
        }
        for (KeyedRecord record : records) {
            if (record.offset() >= backlogEndOffset) {
                backlog.addLast(record);
            }
        }
        while (backlog.size() > MAX_BACKLOG_RECORDS) {
            backlogFirstOffset = backlog.removeFirst().offset() + 1;
        }
        backlogEndOffset = endOffset;
    }

    /** Records from an offset on, where all of them that say something are kept. */
    private Optional<ReadResult> readBacklog(long fromOffset) {
        if (backlogFirstOffset < 0 || fromOffset >= backlogEndOffset || backlogFirstOffset > fromOffset) {
            return Optional.empty();
        }
        List<KeyedRecord> records = new ArrayList<>();
        for (KeyedRecord record : backlog) {
            if (record.offset() >= fromOffset) {
                records.add(record);
            }
        }
        return Optional.of(new ReadResult.Batch(records, backlogEndOffset));
    }

    /** What goes to the follower is what a newcomer is told. */
    private ReadResult delivered(ReadResult result) {
        if (result instanceof ReadResult.Batch batch) {
            batch.records().forEach(this::deliver);
            deliveredEndOffset = Math.max(deliveredEndOffset, batch.nextOffset());
        } else if (!(result instanceof ReadResult.Unavailable)) {
            snapshotDelivered = false;
        }
        return result;
    }

    private void deliveredPage(Optional<String> afterKey, ReadResult result) {
        if (!(result instanceof ReadResult.Page page)) {
            return;
        }
        if (afterKey.isEmpty()) {
            delivered.clear();
            deliveredEndOffset = page.endOffset();
        }
        page.records().forEach(this::deliver);
        snapshotDelivered = !page.more();
    }

    private void deliver(KeyedRecord record) {
        if (record.value().isPresent()) {
            delivered.put(record.key(), record);
        } else {
            delivered.remove(record.key());
        }
    }

    private static final class PendingRead {
        private final long fromOffset;
        private final long waitMillis;
        private final CompletableFuture<ReadResult> result = new CompletableFuture<>();
        private Cancellable timer = () -> {};
        private boolean readingPlatform;

        PendingRead(long fromOffset, long waitMillis) {
            this.fromOffset = fromOffset;
            this.waitMillis = waitMillis;
        }
    }
}
