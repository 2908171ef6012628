package org.dogwoodwinch.follow;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Follows one keyed stream for as long as the process runs.
 *
 * <p>At the start, and whenever the records from which it would continue are no longer retained, it reads a snapshot in
 * pages. Since the pages are not consistent with each other, it then continues from the end offset of the first page,
 * so that a change between two pages is read again as a record. If the store comes back from a copy between two pages,
 * the snapshot begins anew. Replies and timers must arrive on one thread.
 */
public final class StreamFollower {

    private final KeyedStream stream;
    private final FollowerPolicy policy;
    private final StreamListener listener;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private Set<String> snapshotKeys = new HashSet<>();
    private Optional<String> afterKey = Optional.empty();
    private long snapshotEndOffset = -1;
    private long nextOffset = -1;
    private int consecutiveFailures;
    private boolean stopped;
    private Optional<Cancellable> backOff = Optional.empty();

    /**
     * Creates a follower that has not started to read.
     *
     * @param stream the stream to read, not null
     * @param policy the polling and back-off intervals, not null
     * @param listener receives the records, not null
     * @param time schedules the pauses, not null
     * @param random adds jitter to the back-off, not null
     */
    public StreamFollower(
            KeyedStream stream,
            FollowerPolicy policy,
            StreamListener listener,
            TimeSource time,
            UniformRandomProvider random) {
        this.stream = Objects.requireNonNull(stream, "stream");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.time = Objects.requireNonNull(time, "time");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Starts to read with a snapshot. */
    public void start() {
        stream.onRecordsArrived(this::endBackOff);
        readPage();
    }

    /** Stops reading; the result of a read in progress is discarded. */
    public void stop() {
        stopped = true;
    }

    private void readPage() {
        stream.readSnapshotPage(afterKey).thenAccept(this::onResult);
    }

    private void readNext() {
        if (nextOffset < 0) {
            readPage();
            return;
        }
        stream.read(nextOffset, policy.longPollMillis()).thenAccept(this::onResult);
    }

    private void onResult(ReadResult result) {
        if (stopped) {
            return;
        }
        if (result instanceof ReadResult.Unavailable unavailable) {
            backOff(unavailable.reason());
            return;
        }
        if (consecutiveFailures > 0) {
            consecutiveFailures = 0;
            listener.onReconnected();
        }
        if (result instanceof ReadResult.Page page) {
            onPage(page);
        } else if (result instanceof ReadResult.Batch batch) {
            batch.records().forEach(listener::onRecord);
            nextOffset = Math.max(nextOffset, batch.nextOffset());
            time.schedule(policy.pollIntervalMillis(), this::readNextUnlessStopped);
        } else {
            nextOffset = -1;
            readPage();
        }
    }

    private void onPage(ReadResult.Page page) {
        long era = LogPosition.era(page.endOffset());
        if (afterKey.isPresent() && era != LogPosition.era(snapshotEndOffset)) {
            afterKey = Optional.empty();
            readPage();
            return;
        }
        if (afterKey.isEmpty()) {
            if (snapshotEndOffset >= 0 && era > LogPosition.era(snapshotEndOffset)) {
                listener.onStoreCameBack();
            }
            snapshotEndOffset = page.endOffset();
            snapshotKeys = new HashSet<>();
        }
        for (KeyedRecord record : page.records()) {
            snapshotKeys.add(record.key());
            afterKey = Optional.of(record.key());
            listener.onRecord(record);
        }
        if (page.hasMore() && !page.records().isEmpty()) {
            readPage();
            return;
        }
        afterKey = Optional.empty();
        nextOffset = snapshotEndOffset;
        listener.onSnapshotComplete(Set.copyOf(snapshotKeys), snapshotEndOffset);
        readNext();
    }

    /**
     * Schedules the next read after a failure. Jitter keeps instances that lost the platform at the same time from all
     * retrying at once.
     */
    private void backOff(String reason) {
        if (consecutiveFailures == 0) {
            listener.onDisconnected(reason);
        }
        long exponentialMillis = policy.firstBackoffMillis() << Math.min(consecutiveFailures, 10);
        long maxPauseMillis = Math.min(policy.maxBackoffMillis(), exponentialMillis);
        consecutiveFailures++;
        long pauseMillis = maxPauseMillis / 2 + random.nextLong(maxPauseMillis / 2 + 1);
        backOff = Optional.of(time.schedule(pauseMillis, () -> {
            backOff = Optional.empty();
            readNextUnlessStopped();
        }));
    }

    /** Records that another instance has read need not wait until this one reads again. */
    private void endBackOff() {
        if (backOff.isPresent() && nextOffset >= 0) {
            backOff.get().cancel();
            backOff = Optional.empty();
            readNextUnlessStopped();
        }
    }

    private void readNextUnlessStopped() {
        if (!stopped) {
            readNext();
        }
    }
}
