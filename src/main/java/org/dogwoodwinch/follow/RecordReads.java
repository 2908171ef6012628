package org.dogwoodwinch.follow;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongConsumer;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The reads of the records after an offset, each answered by the backlog or, once the schedule allows it, by the
 * platform. Confined to one thread.
 *
 * <p>Failure: records that have arrived wait until the pause between two reads of the platform is over. The pause is
 * therefore kept here, before each read of the platform, and a follower reads again at once.
 */
final class RecordReads {

    private static final Logger log = LoggerFactory.getLogger(RecordReads.class);

    private final String stream;
    private final KeyedStream platform;
    private final ReplicaPolicy policy;
    private final TimeSource time;
    private final StreamEra era;
    private final ReadSchedule schedule;
    private final StreamBacklog backlog;
    private final DeliveredRecords delivered;
    private final StoreAvailability availability;
    private final UpdatePublisher updates;
    private final LongConsumer onContact;
    private Runnable recordsListener = () -> {};
    private Optional<PendingRead> pendingRead = Optional.empty();

    /**
     * Creates an instance without pending reads.
     *
     * @param stream the stream's name, for logs, not null
     * @param platform reads the stream from the platform, not null
     * @param policy the time limits, not null
     * @param time the clock and timers, not null
     * @param era the latest known era, not null
     * @param schedule decides when the platform is read, not null
     * @param backlog the newest known records, not null
     * @param delivered the records delivered to the follower, not null
     * @param availability is notified of answers that do not renew the contact, not null
     * @param updates publishes what was read from the platform, not null
     * @param onContact is called with a moment at or after which the platform answered completely, in monotonic
     *     milliseconds, not null
     */
    RecordReads(
            String stream,
            KeyedStream platform,
            ReplicaPolicy policy,
            TimeSource time,
            StreamEra era,
            ReadSchedule schedule,
            StreamBacklog backlog,
            DeliveredRecords delivered,
            StoreAvailability availability,
            UpdatePublisher updates,
            LongConsumer onContact) {
        this.stream = Objects.requireNonNull(stream, "stream");
        this.platform = Objects.requireNonNull(platform, "platform");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.era = Objects.requireNonNull(era, "era");
        this.schedule = Objects.requireNonNull(schedule, "schedule");
        this.backlog = Objects.requireNonNull(backlog, "backlog");
        this.delivered = Objects.requireNonNull(delivered, "delivered");
        this.availability = Objects.requireNonNull(availability, "availability");
        this.updates = Objects.requireNonNull(updates, "updates");
        this.onContact = Objects.requireNonNull(onContact, "onContact");
    }

    /** Sets the listener that is called when records have arrived and no read is pending. */
    void onRecordsArrived(Runnable listener) {
        recordsListener = Objects.requireNonNull(listener, "listener");
    }

    /** Reads the records after an offset; see {@link KeyedStream#read}. */
    CompletionStage<ReadResult> read(long fromOffset, long waitMillis) {
        if (era.isEarlier(fromOffset)) {
            return CompletableFuture.completedFuture(
                    delivered.addResult(new ReadResult.Expired(), StreamReading.Source.STORE));
        }
        Optional<ReadResult> known = backlog.read(fromOffset);
        if (known.isPresent()) {
            return CompletableFuture.completedFuture(delivered.addResult(known.get(), StreamReading.Source.UPDATE));
        }
        PendingRead newRead = new PendingRead(fromOffset, waitMillis);
        pendingRead = Optional.of(newRead);
        readWhenDue(newRead);
        return newRead.result;
    }

    /** Processes records that another instance sent and that were added to the backlog. */
    void onBacklogExtended() {
        if (pendingRead.isPresent()) {
            completeFromBacklog(pendingRead.get());
        } else if (backlog.read(delivered.endOffset()).isPresent()) {
            recordsListener.run();
        }
    }

    /** Ends a pending read of an earlier era, so that the follower reads a snapshot. */
    void endReadOfEarlierEra() {
        pendingRead
                .filter(read -> era.isEarlier(read.fromOffset))
                .ifPresent(read -> complete(read, new ReadResult.Expired(), StreamReading.Source.STORE));
    }

    /** Returns whether a read from the platform is in progress that the platform is expected to answer. */
    boolean isOwnReadUnderWay() {
        return pendingRead.filter(read -> read.readingPlatform).isPresent() && schedule.hasRecentOwnContact();
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

    /** Reads from the platform once the schedule allows it. An update that arrives earlier completes the read. */
    private void readWhenDue(PendingRead read) {
        boolean isBehind = backlog.endsAfter(read.fromOffset);
        long remainingMillis = schedule.remainingMillis(isBehind);
        if (remainingMillis > 0) {
            read.timer = time.schedule(remainingMillis, () -> readWhenDue(read));
        } else {
            readPlatform(read, isBehind ? 0 : schedule.longPollMillis(read.waitMillis));
        }
    }

    private void complete(PendingRead read, ReadResult result, StreamReading.Source source) {
        read.timer.cancel();
        pendingRead = pendingRead.filter(other -> other != read);
        if (!read.result.isDone()) {
            read.result.complete(delivered.addResult(result, source));
        }
    }

    /** Reads from the platform, and once more if the answer does not arrive in time: one answer may be lost. */
    private void readPlatform(PendingRead read, long waitMillis) {
        read.readingPlatform = true;
        send(read, waitMillis);
        read.timer = time.schedule(waitMillis + policy.secondReadAfterMillis(), () -> {
            LogEvent.of("stream_read_again")
                    .with("stream", stream)
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
            if (era.isEarlier(read.fromOffset)) {
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
            schedule.omitPause();
        } else {
            onContact.accept(asOfMillis);
            schedule.beginPause();
        }
        backlog.add(batch.records(), fromOffset, batch.nextOffset());
        updates.publishBatch(fromOffset, batch);
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
