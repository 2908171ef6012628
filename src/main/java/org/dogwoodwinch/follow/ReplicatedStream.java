package org.dogwoodwinch.follow;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.dogwoodwinch.time.TimeSource;

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
 */
public final class ReplicatedStream implements KeyedStream {

    /**
     * The number of records kept for followers that are one update behind; a burst of changes produces some tens of
     * records a second.
     */
    private static final int MAX_BACKLOG_RECORDS = 256;

    private final String name;
    private final ReplicaPolicy policy;
    private final TimeSource time;
    private final Publisher publisher;
    private final StreamBacklog backlog = new StreamBacklog(MAX_BACKLOG_RECORDS);
    private final StoreAvailability availability;
    private final DeliveredRecords delivered;
    private final UpdatePublisher updates;
    private final StreamEra era;
    private final ReadSchedule schedule;
    private final SnapshotReads snapshotReads;
    private final RecordReads recordReads;

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
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.publisher = Objects.requireNonNull(publisher, "publisher");
        this.availability = new StoreAvailability(policy.maxAgeMillis(), time.monotonicMillis());
        this.delivered = new DeliveredRecords(availability);
        this.era = new StreamEra(name, this::discardEarlierEra);
        this.schedule = new ReadSchedule(policy, time, ownRank);
        this.updates = new UpdatePublisher(
                name,
                policy,
                time,
                backlog,
                publisher,
                schedule::isCoveredByOtherReader,
                stateFunction,
                MAX_BACKLOG_RECORDS);
        this.snapshotReads = new SnapshotReads(
                name, platform, policy, time, era, delivered, this::recordContact, publisher::requestSnapshot);
        this.recordReads = new RecordReads(
                name,
                platform,
                policy,
                time,
                era,
                schedule,
                backlog,
                delivered,
                availability,
                updates,
                this::recordContact);
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
        return snapshotReads.readPage(afterKey);
    }

    @Override
    public void onRecordsArrived(Runnable listener) {
        recordReads.onRecordsArrived(listener);
    }

    @Override
    public CompletionStage<ReadResult> read(long fromOffset, long waitMillis) {
        return recordReads.read(fromOffset, waitMillis);
    }

    /**
     * Processes an update from another instance of this data centre.
     *
     * @param update the update, not null
     * @param fromPredecessor whether the sender precedes this instance in the succession order
     */
    public void onUpdate(StreamUpdate update, boolean fromPredecessor) {
        if (!era.isCurrent(update.nextOffset(), "peer")) {
            return;
        }
        if (fromPredecessor) {
            schedule.recordOtherReader(update.contactAgeMillis());
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
        if (!era.isCurrent(update.nextOffset(), "peer")) {
            return;
        }
        long currentAgeMillis = ageMillis();
        boolean ownReadsFail = currentAgeMillis < 0 || currentAgeMillis > policy.maxAgeMillis();
        boolean isNewsTaken = update.nextOffset() > backlog.endOffset() && !recordReads.isOwnReadUnderWay();
        long takenFromOffset = Math.max(update.firstOffset(), backlog.endOffset());
        apply(update);
        if (update.isSnapshot() || schedule.isCoveredByOtherReader()) {
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
        return schedule.ageMillis();
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
        era.begin(newEra, source);
    }

    private void discardEarlierEra() {
        backlog.clear();
        updates.clear();
        schedule.forgetOtherReader();
        snapshotReads.forgetReceived();
        recordReads.endReadOfEarlierEra();
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
        schedule.recordOwnContact(asOfMillis);
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
            snapshotReads.onSnapshot(update, nowMillis);
            return;
        }
        backlog.add(update.records(), update.firstOffset(), update.nextOffset());
        delivered.recordEnd(update.nextOffset(), contactMillis);
        recordReads.onBacklogExtended();
    }
}
