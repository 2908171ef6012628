package org.dogwoodwinch.follow;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.dogwoodwinch.time.TimeSource;

/**
 * Publishes what the reader of a data centre has read, or has taken from another data centre, to the instances that follow
 * it. Confined to one thread.
 *
 * <p>Load: targets renew their entries about once a second, which changes nothing. Sending these records to each
 * instance and decoding them there accounted for a third of the message cost of an idle fleet. The reader omits such
 * records from its updates, and an update without other records is delayed until the next heartbeat is due.
 */
final class UpdatePublisher {

    /** The number of updates that a reader publishes within the maximum update age when there are no changes. */
    private static final int HEARTBEATS_PER_MAX_AGE = 2;

    private final String stream;
    private final ReplicaPolicy policy;
    private final TimeSource time;
    private final StreamBacklog backlog;
    private final ReplicatedStream.Publisher publisher;
    private final BooleanSupplier isCoveredByOtherReader;
    private final RedundantRecordTracker redundantRecords;
    private long lastPublishMillis = StreamCoverage.UNKNOWN_MILLIS;
    private long contactMillis = StreamCoverage.UNKNOWN_MILLIS;
    private long unpublishedFromOffset = -1;
    private boolean isForwardScheduled;

    /**
     * Creates a publisher that has published nothing.
     *
     * @param stream the stream's name, not null
     * @param policy the time limits, not null
     * @param time the clock and timers, not null
     * @param backlog the records to publish, not null
     * @param publisher sends the updates, not null
     * @param isCoveredByOtherReader whether updates of another reader of the data centre are relied on, not null
     * @param stateFunction returns the state that a record conveys; records with equal states are redundant, not null
     * @param maxRedundantOffsets the number of redundant records that are remembered
     */
    UpdatePublisher(
            String stream,
            ReplicaPolicy policy,
            TimeSource time,
            StreamBacklog backlog,
            ReplicatedStream.Publisher publisher,
            BooleanSupplier isCoveredByOtherReader,
            Function<KeyedRecord, Object> stateFunction,
            int maxRedundantOffsets) {
        this.stream = stream;
        this.policy = policy;
        this.time = time;
        this.backlog = backlog;
        this.publisher = publisher;
        this.isCoveredByOtherReader = isCoveredByOtherReader;
        this.redundantRecords = new RedundantRecordTracker(stateFunction, maxRedundantOffsets);
    }

    /** Records a moment at which the records in the backlog were complete, by the store's answer to any instance. */
    void recordContact(long atMillis) {
        contactMillis = Math.max(contactMillis, atMillis);
    }

    /**
     * Publishes a batch that is in the backlog: immediately if it contains changes, otherwise as a heartbeat, which
     * carries the current offset, before the last update becomes too old.
     */
    void publishBatch(long fromOffset, ReadResult.Batch batch) {
        boolean changed = redundantRecords.observe(fromOffset, batch.nextOffset(), batch.records());
        if (isCoveredByOtherReader.getAsBoolean()) {
            unpublishedFromOffset = -1;
            return;
        }
        markUnpublished(fromOffset);
        long elapsedMillis = time.monotonicMillis() - lastPublishMillis;
        if (changed || elapsedMillis >= policy.maxAgeMillis() / HEARTBEATS_PER_MAX_AGE) {
            publishUnpublished(batch.nextOffset(), true);
        }
    }

    /**
     * Forwards records of another data centre within this one, at most one update in a read pause.
     *
     * <p>Failure: the reader has taken the records from another data centre, so it does not read them, and the instances
     * that rely on it learn of them only once they no longer do.
     *
     * @param fromOffset the offset of the first of these records, which are in the backlog
     */
    void forwardFrom(long fromOffset) {
        markUnpublished(fromOffset);
        if (!isForwardScheduled) {
            isForwardScheduled = true;
            long elapsedMillis = time.monotonicMillis() - lastPublishMillis;
            time.schedule(Math.max(0, policy.readPauseMillis() - elapsedMillis), this::forwardUnpublished);
        }
    }

    private void forwardUnpublished() {
        isForwardScheduled = false;
        if (unpublishedFromOffset >= 0 && !isCoveredByOtherReader.getAsBoolean()) {
            publishUnpublished(backlog.endOffset(), false);
        }
    }

    /** Forgets what was not published, since it belongs to an earlier era of the store. */
    void clear() {
        unpublishedFromOffset = -1;
    }

    private void markUnpublished(long fromOffset) {
        if (unpublishedFromOffset < 0 || unpublishedFromOffset > fromOffset) {
            unpublishedFromOffset = fromOffset;
        }
    }

    private void publishUnpublished(long nextOffset, boolean ownReading) {
        long firstOffset = Math.max(unpublishedFromOffset, backlog.firstOffset());
        List<KeyedRecord> records = backlog.recordsFrom(firstOffset).stream()
                .filter(record -> !redundantRecords.isRedundant(record.offset()))
                .toList();
        lastPublishMillis = time.monotonicMillis();
        unpublishedFromOffset = -1;
        long contactAgeMillis = Math.min(StreamUpdate.UNKNOWN_AGE_MILLIS, lastPublishMillis - contactMillis);
        publisher.publish(
                new StreamUpdate(stream, false, records, firstOffset, nextOffset, contactAgeMillis), ownReading);
    }
}
