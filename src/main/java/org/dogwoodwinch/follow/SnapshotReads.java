package org.dogwoodwinch.follow;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The reads of a snapshot, each answered by the platform or by a snapshot of another instance, whichever arrives first.
 * Confined to one thread.
 *
 * <p>Failure: an instance that starts while the platform rejects its calls has no state and refuses every call,
 * although other instances hold all the state that it needs.
 */
final class SnapshotReads {

    private static final Logger log = LoggerFactory.getLogger(SnapshotReads.class);

    private final String stream;
    private final KeyedStream platform;
    private final ReplicaPolicy policy;
    private final TimeSource time;
    private final StreamEra era;
    private final DeliveredRecords delivered;
    private final LongConsumer onContact;
    private final Runnable requestSnapshot;
    private Optional<CompletableFuture<ReadResult>> pendingRead = Optional.empty();
    private Optional<StreamUpdate> received = Optional.empty();
    private long receivedMillis = StreamCoverage.UNKNOWN_MILLIS;

    /**
     * Creates an instance without pending reads.
     *
     * @param stream the stream's name, for logs, not null
     * @param platform reads the stream from the platform, not null
     * @param policy the time limits, not null
     * @param time the clock, not null
     * @param era the latest known era, not null
     * @param delivered the records delivered to the follower, not null
     * @param onContact is called with a moment at or after which the platform answered, in monotonic milliseconds, not
     *     null
     * @param requestSnapshot requests snapshots from other instances, called when the platform does not answer, not null
     */
    SnapshotReads(
            String stream,
            KeyedStream platform,
            ReplicaPolicy policy,
            TimeSource time,
            StreamEra era,
            DeliveredRecords delivered,
            LongConsumer onContact,
            Runnable requestSnapshot) {
        this.stream = Objects.requireNonNull(stream, "stream");
        this.platform = Objects.requireNonNull(platform, "platform");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.era = Objects.requireNonNull(era, "era");
        this.delivered = Objects.requireNonNull(delivered, "delivered");
        this.onContact = Objects.requireNonNull(onContact, "onContact");
        this.requestSnapshot = Objects.requireNonNull(requestSnapshot, "requestSnapshot");
    }

    /** Reads a page; see {@link KeyedStream#readSnapshotPage}. */
    CompletionStage<ReadResult> readPage(Optional<String> afterKey) {
        CompletableFuture<ReadResult> result = new CompletableFuture<>();
        if (afterKey.isEmpty()) {
            pendingRead = Optional.of(result);
            if (received.isPresent() && time.monotonicMillis() < receivedMillis + policy.maxAgeMillis()) {
                completeWith(received.get());
                return result;
            }
        }
        long sentMillis = time.monotonicMillis();
        platform.readSnapshotPage(afterKey).thenAccept(read -> {
            ReadResult page = withoutEarlierEra(read);
            if (!(page instanceof ReadResult.Unavailable)) {
                onContact.accept(sentMillis);
            }
            if (!result.isDone()) {
                pendingRead = Optional.empty();
                if (page instanceof ReadResult.Unavailable) {
                    requestSnapshot.run();
                }
                if (page instanceof ReadResult.Page stored) {
                    delivered.addPage(afterKey.isEmpty(), stored, StreamReading.Source.STORE, sentMillis);
                }
                result.complete(page);
            }
        });
        return result;
    }

    private ReadResult withoutEarlierEra(ReadResult read) {
        if (read instanceof ReadResult.Page page && !era.isCurrent(page.endOffset(), "store")) {
            return new ReadResult.Unavailable("page of an earlier era");
        }
        return read;
    }

    /**
     * Processes a snapshot from another instance: it answers the pending read, or one that begins soon.
     *
     * @param snapshot the snapshot, not null
     * @param nowMillis when it arrived, in monotonic milliseconds
     */
    void onSnapshot(StreamUpdate snapshot, long nowMillis) {
        received = Optional.of(snapshot);
        receivedMillis = nowMillis;
        if (pendingRead.isPresent()) {
            completeWith(snapshot);
        }
    }

    /** Forgets the received snapshot. */
    void forgetReceived() {
        received = Optional.empty();
    }

    private void completeWith(StreamUpdate snapshot) {
        CompletableFuture<ReadResult> read = pendingRead.orElseThrow();
        pendingRead = Optional.empty();
        received = Optional.empty();
        ReadResult.Page page = new ReadResult.Page(snapshot.records(), false, snapshot.nextOffset());
        delivered.addPage(true, page, StreamReading.Source.SNAPSHOT, receivedMillis - snapshot.contactAgeMillis());
        LogEvent.of("stream_told_whole")
                .with("stream", stream)
                .with("records", snapshot.records().size())
                .with("offset", snapshot.nextOffset())
                .with("ageMillis", snapshot.contactAgeMillis())
                .info(log);
        read.complete(page);
    }
}
