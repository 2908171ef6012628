package org.dogwoodwinch.follow;

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
 * A keyed stream that one instance of a data centre reads from the platform and replicates to the others. Confined to
 * one thread.
 *
 * <p>Failure: when each instance reads for itself, calls to the platform grow with the fleet until they cost more than
 * the traffic earns. Here an instance reads only while no predecessor in the succession order has recently published an
 * update as a reader. An update counts for as long as its publisher's own contact with the platform is recent: a
 * publisher that is cut off from the platform, frozen, lagging or gone suppresses the reads of others no longer than
 * that, after which the next instances take over one after the other. Records carry their offsets, so two concurrent
 * readers, or one that publishes late, do no harm: records that were read already are skipped, and a gap is closed by a
 * read from the platform.
 *
 * <p>Failure: an instance that starts while the platform rejects its calls has no state and refuses every call,
 * although other instances hold all the state that it needs. A snapshot from another instance therefore replaces the
 * first snapshot read, whichever arrives first. When the platform rejects a whole data centre, updates of a reader in
 * another data centre are used and forwarded.
 *
 * <p>Failure: the store comes back from a copy. A publisher that still tells of the lost history would pass for fresh,
 * and its records, kept in the backlog, would be delivered after the snapshot of the new history. Records, updates and
 * reads of an earlier era than the latest known one are therefore discarded; positions carry the era
 * ({@link LogPosition}), so that an instance that the store turns away learns it from the others.
 *
 * <p>Failure: records that have arrived wait until the pause between two reads of the platform is over. The pause is
 * therefore kept here, before each read of the platform, and a follower reads again at once.
 */
public final class ReplicatedStream implements KeyedStream {

    private static final Logger log = LoggerFactory.getLogger(ReplicatedStream.class);

    /**
     * The number of records kept for followers that are one update behind; a burst of changes produces some tens of
     * records a second.
     */
    private static final int MAX_BACKLOG_RECORDS = 256;

    private final String name;
    private final KeyedStream platform;
    private final ReplicaPolicy policy;
    private final TimeSource time;
    private final IntSupplier ownRank;
    private final Publisher publisher;
    private final StreamBacklog backlog = new StreamBacklog(MAX_BACKLOG_RECORDS);
    private final StoreAvailability availability;
    private final DeliveredRecords delivered;
    private final UpdatePublisher updates;
    private Runnable recordsListener = () -> {};
    private long era;
    private long otherReaderFreshUntilMillis = Long.MIN_VALUE;
    private long lastContactMillis = StreamCoverage.UNKNOWN_MILLIS;
    private long nextReadMillis = Long.MIN_VALUE / 2;
    private Optional<PendingRead> pendingRead = Optional.empty();
    private Optional<CompletableFuture<ReadResult>> pendingSnapshotRead = Optional.empty();
    private Optional<StreamUpdate> receivedSnapshot = Optional.empty();
    private long snapshotReceivedMillis = StreamCoverage.UNKNOWN_MILLIS;

    /**
     * Creates a stream.
     *
     * @param name the stream's name, not null
     * @param platform reads the stream from the platform, not null
     * @param policy the time limits, not null
     * @param time the clock and timers, not null
     * @param ownRank returns this instance's position in the succession order of its data centre, zero is the first,
     *     not null
     * @param publisher sends updates and snapshot requests to the other instances, not null
     * @param stateFunction returns the state that a record conveys; records with equal states are redundant, not null
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
        this.availability = new StoreAvailability(policy.maxAgeMillis(), time.monotonicMillis());
        this.delivered = new DeliveredRecords(availability);
        this.updates = new UpdatePublisher(
                name,
                policy,
                time,
                backlog,
                publisher,
                this::isCoveredByOtherReader,
                stateFunction,
                MAX_BACKLOG_RECORDS);
    }

    /** Sends updates and snapshot requests to other instances. */
    public interface Publisher {

        /**
         * Publishes an update.
         *
         * @param update the update, not null
         * @param ownReading whether this instance read the records from the platform. If so, the update goes to the
         *     other data centres too; an update from another data centre goes to the own one only, since two data
         *     centres that both fail to read would otherwise forward it to each other endlessly
         */
        void publish(StreamUpdate update, boolean ownReading);

        /** Requests snapshots from other instances, because the platform did not answer the initial snapshot read. */
        void requestSnapshot();
    }

    @Override
    public CompletionStage<ReadResult> readSnapshotPage(Optional<String> afterKey) {
        CompletableFuture<ReadResult> result = new CompletableFuture<>();
        if (afterKey.isEmpty()) {
            pendingSnapshotRead = Optional.of(result);
            if (receivedSnapshot.isPresent()
                    && time.monotonicMillis() < snapshotReceivedMillis + policy.maxAgeMillis()) {
                completeSnapshotRead(receivedSnapshot.get());
                return result;
            }
        }
        long sentMillis = time.monotonicMillis();
        platform.readSnapshotPage(afterKey).thenAccept(read -> {
            ReadResult page = withoutEarlierEra(read);
            if (!(page instanceof ReadResult.Unavailable)) {
                recordContact(sentMillis);
            }
            if (!result.isDone()) {
                pendingSnapshotRead = Optional.empty();
                if (page instanceof ReadResult.Unavailable) {
                    publisher.requestSnapshot();
                }
                if (page instanceof ReadResult.Page stored) {
                    delivered.addPage(afterKey.isEmpty(), stored, StreamReading.Source.STORE, sentMillis);
                }
                result.complete(page);
            }
        });
        return result;
    }

    @Override
    public void onRecordsArrived(Runnable listener) {
        recordsListener = Objects.requireNonNull(listener, "listener");
    }

    @Override
    public CompletionStage<ReadResult> read(long fromOffset, long waitMillis) {
        if (LogPosition.era(fromOffset) < era) {
            return CompletableFuture.completedFuture(delivered(new ReadResult.Expired(), StreamReading.Source.STORE));
        }
        Optional<ReadResult> known = backlog.read(fromOffset);
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(delivered(known.get(), StreamReading.Source.UPDATE));
        }
        PendingRead newRead = new PendingRead(fromOffset, waitMillis);
        pendingRead = Optional.of(newRead);
        readWhenDue(newRead);
        return newRead.result;
    }

    /**
     * Processes an update from another instance of this data centre.
     *
     * @param update the update, not null
     * @param fromPredecessor whether the sender precedes this instance in the succession order
     */
    public void onUpdate(StreamUpdate update, boolean fromPredecessor) {
        if (!isOfCurrentEra(update.nextOffset(), "peer")) {
            return;
        }
        if (fromPredecessor) {
            long until = time.monotonicMillis() - update.contactAgeMillis() + policy.maxAgeMillis();
            otherReaderFreshUntilMillis = Math.max(otherReaderFreshUntilMillis, until);
        }
        apply(update);
    }

    /**
     * Processes an update from a reader in another data centre. If the reads of this data centre fail, its reader
     * forwards each update; otherwise its own reads are as current, and it forwards only records that it has taken from
     * an update.
     *
     * @param update the update, not null
     */
    public void onUpdateFromOtherDataCentre(StreamUpdate update) {
        if (!isOfCurrentEra(update.nextOffset(), "peer")) {
            return;
        }
        long currentAgeMillis = ageMillis();
        boolean ownReadsFail = currentAgeMillis < 0 || currentAgeMillis > policy.maxAgeMillis();
        boolean isNewsTaken = update.nextOffset() > backlog.endOffset() && !isOwnReadUnderWay();
        long takenFromOffset = Math.max(update.firstOffset(), backlog.endOffset());
        apply(update);
        if (update.isSnapshot() || isCoveredByOtherReader()) {
            return;
        }
        if (ownReadsFail) {
            publisher.publish(update, false);
        } else if (isNewsTaken) {
            updates.recordContact(time.monotonicMillis() - update.contactAgeMillis());
            updates.forwardFrom(takenFromOffset);
        }
    }

    /**
     * Returns a snapshot of the state that was delivered to the follower.
     *
     * @return the newest record of each key, empty before the first complete snapshot
     */
    public Optional<StreamUpdate> snapshot() {
        long ageMillis = ageMillis();
        long publishedAgeMillis = ageMillis < 0 ? StreamUpdate.UNKNOWN_AGE_MILLIS : ageMillis;
        return delivered
                .snapshot()
                .map(records -> new StreamUpdate(
                        name, true, records, delivered.endOffset(), delivered.endOffset(), publishedAgeMillis));
    }

    /**
     * Returns the maximum age of the replicated state.
     *
     * @return milliseconds since the platform last answered the reader that this instance relies on; -1 before any
     *     answer
     */
    public long ageMillis() {
        long nowMillis = time.monotonicMillis();
        long otherReaderContactMillis = otherReaderFreshUntilMillis == Long.MIN_VALUE
                ? StreamCoverage.UNKNOWN_MILLIS
                : otherReaderFreshUntilMillis - policy.maxAgeMillis();
        long lastAnyContactMillis = Math.max(lastContactMillis, otherReaderContactMillis);
        return lastAnyContactMillis == StreamCoverage.UNKNOWN_MILLIS
                ? -1
                : Math.max(0, nowMillis - lastAnyContactMillis);
    }

    /**
     * Returns how long the delivered state is not known to be complete.
     *
     * @return milliseconds since a moment before which every acknowledged record has been delivered; very large before
     *     any record was delivered
     */
    public long deliveredAgeMillis() {
        return time.monotonicMillis() - delivered.coveredMillis();
    }

    /**
     * Returns what is known of the records that were delivered last. A follower may ask while it handles them.
     *
     * @return the reading
     */
    public StreamReading lastReading() {
        return delivered.lastReading();
    }

    /**
     * Begins a new era of the store, unless it is already known: what was received of an earlier one is discarded, and a
     * pending read of an earlier one ends, so that the follower reads a snapshot.
     *
     * @param newEra the era that the store stated, to this instance or to another one
     * @param source where it was learned, for logs, not null
     */
    public void beginEra(long newEra, String source) {
        if (newEra <= era) {
            return;
        }
        LogEvent.of("stream_era")
                .with("stream", name)
                .with("old", era)
                .with("new", newEra)
                .with("source", source)
                .info(log);
        era = newEra;
        backlog.clear();
        updates.clear();
        otherReaderFreshUntilMillis = Long.MIN_VALUE;
        receivedSnapshot = Optional.empty();
        pendingRead
                .filter(read -> LogPosition.era(read.fromOffset) < era)
                .ifPresent(read -> complete(read, new ReadResult.Expired(), StreamReading.Source.STORE));
    }

    /** Returns whether a position belongs to the latest known era, after beginning a later one. */
    private boolean isOfCurrentEra(long position, String source) {
        beginEra(LogPosition.era(position), source);
        return LogPosition.era(position) == era;
    }

    private ReadResult withoutEarlierEra(ReadResult read) {
        if (read instanceof ReadResult.Page page && !isOfCurrentEra(page.endOffset(), "store")) {
            return new ReadResult.Unavailable("page of an earlier era");
        }
        return read;
    }

    /**
     * Records an answer of the platform.
     *
     * <p>Failure: an answer waits in a socket or for the processor, and the state in it passes for current when it is
     * handled. It is therefore only as recent as it must be.
     *
     * @param asOfMillis a moment after which the platform wrote the answer
     */
    private void recordContact(long asOfMillis) {
        lastContactMillis = Math.max(lastContactMillis, asOfMillis);
        updates.recordContact(asOfMillis);
        availability.recordContact(asOfMillis);
    }

    private void apply(StreamUpdate update) {
        long nowMillis = time.monotonicMillis();
        long contactMillis = nowMillis - update.contactAgeMillis();
        if (update.contactAgeMillis() >= StreamUpdate.UNKNOWN_AGE_MILLIS) {
            availability.recordContactOfUnknownAge(nowMillis);
        } else {
            availability.recordContact(contactMillis);
        }
        if (update.isSnapshot()) {
            receivedSnapshot = Optional.of(update);
            snapshotReceivedMillis = nowMillis;
            if (pendingSnapshotRead.isPresent()) {
                completeSnapshotRead(update);
            }
            return;
        }
        backlog.add(update.records(), update.firstOffset(), update.nextOffset());
        delivered.recordEnd(update.nextOffset(), contactMillis);
        if (pendingRead.isPresent()) {
            completeFromBacklog(pendingRead.get());
        } else if (backlog.read(delivered.endOffset()).isPresent()) {
            recordsListener.run();
        }
    }

    /**
     * Completes a read from the backlog. A read from the platform in progress is left alone while the platform answers,
     * since its reply is about to arrive.
     */
    private void completeFromBacklog(PendingRead read) {
        if (isOwnReadUnderWay()) {
            return;
        }
        Optional<ReadResult> known = backlog.read(read.fromOffset);
        if (known.isPresent()) {
            complete(read, known.get(), StreamReading.Source.UPDATE);
        } else if (!read.readingPlatform && backlog.endsAfter(read.fromOffset)) {
            read.timer.cancel();
            readWhenDue(read);
        }
    }

    private boolean isOwnReadUnderWay() {
        return pendingRead.filter(read -> read.readingPlatform).isPresent()
                && lastContactMillis > time.monotonicMillis() - policy.maxAgeMillis();
    }

    private void completeSnapshotRead(StreamUpdate update) {
        CompletableFuture<ReadResult> snapshotRead = pendingSnapshotRead.orElseThrow();
        pendingSnapshotRead = Optional.empty();
        receivedSnapshot = Optional.empty();
        ReadResult.Page page = new ReadResult.Page(update.records(), false, update.nextOffset());
        delivered.addPage(
                true, page, StreamReading.Source.SNAPSHOT, snapshotReceivedMillis - update.contactAgeMillis());
        LogEvent.of("stream_told_whole")
                .with("stream", name)
                .with("records", update.records().size())
                .with("offset", update.nextOffset())
                .with("ageMillis", update.contactAgeMillis())
                .info(log);
        snapshotRead.complete(page);
    }

    /** Returns whether updates of another reader currently replace reads from the platform. */
    private boolean isCoveredByOtherReader() {
        return time.monotonicMillis() < takeoverMillis();
    }

    private long takeoverMillis() {
        return otherReaderFreshUntilMillis == Long.MIN_VALUE
                ? Long.MIN_VALUE
                : otherReaderFreshUntilMillis + policy.takeoverDelayMillis(ownRank.getAsInt());
    }

    /**
     * Reads from the platform once the pause since the last answer is over and, unless records are known to be missing, no
     * other reader is relied on. An update that arrives earlier completes the read.
     */
    private void readWhenDue(PendingRead read) {
        boolean isBehind = backlog.endsAfter(read.fromOffset);
        long dueMillis = isBehind ? nextReadMillis : Math.max(nextReadMillis, takeoverMillis());
        long remainingMillis = dueMillis - time.monotonicMillis();
        if (remainingMillis > 0) {
            read.timer = time.schedule(remainingMillis, () -> readWhenDue(read));
        } else {
            readPlatform(read, isBehind ? 0 : longPollMillis(read));
        }
    }

    /**
     * Returns how long the platform may hold a read: for so long that the contact is renewed in time for those who rely on
     * it, and not at all if this instance has had none for a while.
     */
    private long longPollMillis(PendingRead read) {
        long renewalMillis = lastContactMillis + policy.longPollMillis() + policy.readPauseMillis();
        return Math.max(0, Math.min(read.waitMillis, renewalMillis - time.monotonicMillis()));
    }

    private void complete(PendingRead read, ReadResult result, StreamReading.Source source) {
        read.timer.cancel();
        pendingRead = pendingRead.filter(other -> other != read);
        if (!read.result.isDone()) {
            read.result.complete(delivered(result, source));
        }
    }

    /** Reads from the platform, and once more if the answer does not arrive in time: one answer may be lost. */
    private void readPlatform(PendingRead read, long waitMillis) {
        read.readingPlatform = true;
        send(read, waitMillis);
        read.timer = time.schedule(waitMillis + policy.secondReadAfterMillis(), () -> {
            LogEvent.of("stream_read_again")
                    .with("stream", name)
                    .with("offset", LogPosition.describe(read.fromOffset))
                    .with("waitedMillis", waitMillis + policy.secondReadAfterMillis())
                    .info(log);
            send(read, 0);
        });
    }

    private void send(PendingRead read, long waitMillis) {
        long sentMillis = time.monotonicMillis();
        read.unansweredCount++;
        platform.read(read.fromOffset, waitMillis).thenAccept(result -> {
            read.unansweredCount--;
            if (LogPosition.era(read.fromOffset) < era) {
                // The read was ended when the era began.
                return;
            }
            if (result instanceof ReadResult.Batch batch) {
                // The platform holds a read without records for the whole time.
                processBatch(
                        read.fromOffset, batch, sentMillis + (batch.records().isEmpty() ? waitMillis : 0));
            } else if (result instanceof ReadResult.Expired) {
                availability.recordContact(sentMillis);
            } else if (read.unansweredCount > 0) {
                return;
            }
            complete(read, result, StreamReading.Source.STORE);
        });
    }

    private void processBatch(long fromOffset, ReadResult.Batch batch, long asOfMillis) {
        delivered.recordEnd(batch.endOffset(), asOfMillis);
        if (batch.isCut()) {
            availability.recordContact(asOfMillis);
            nextReadMillis = time.monotonicMillis();
        } else {
            recordContact(asOfMillis);
            nextReadMillis = time.monotonicMillis() + policy.readPauseMillis();
        }
        backlog.add(batch.records(), fromOffset, batch.nextOffset());
        updates.publishBatch(fromOffset, batch);
    }

    /**
     * Records a result that is delivered to the follower, so that snapshots for other instances match what the follower
     * received.
     */
    private ReadResult delivered(ReadResult result, StreamReading.Source source) {
        if (result instanceof ReadResult.Batch batch) {
            delivered.addBatch(batch, source);
        } else if (!(result instanceof ReadResult.Unavailable)) {
            delivered.discard();
        }
        return result;
    }

    private static final class PendingRead {
        private final long fromOffset;
        private final long waitMillis;
        private final CompletableFuture<ReadResult> result = new CompletableFuture<>();
        private Cancellable timer = () -> {};
        private boolean readingPlatform;
        private int unansweredCount;

        PendingRead(long fromOffset, long waitMillis) {
            this.fromOffset = fromOffset;
            this.waitMillis = waitMillis;
        }
    }
}
