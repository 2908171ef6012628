package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.StreamCoverage;
import org.dogwoodwinch.follow.StreamListener;
import org.dogwoodwinch.follow.StreamReading;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.RemovalHold;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.platform.TargetEntryDecoder;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.TargetEvents;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates the target directory from the platform's list of targets. Confined to one event loop.
 *
 * <p>Failure: during an outage of the store, entries of healthy targets expire because their renewals do not arrive.
 * When the store returns, all targets seem to be gone for a moment, and every call would be refused. The entries return
 * within about two seconds, so a removal around an outage is held back ({@link RemovalHold}). A failed read of this
 * instance is no outage as long as another instance reaches the store.
 *
 * <p>Failure: the store comes back from a copy, in which a target that was removed since is still listed, and calls are
 * sent to an address that nobody or another target has. Such an entry counts only when it is written again, which a
 * target that is alive does about once a second; and what the copy lacks is removed only if it is not written again.
 */
final class TargetsReader implements StreamListener {

    private static final Logger log = LoggerFactory.getLogger(TargetsReader.class);

    private final TargetDirectory directory;
    private final TargetEvents events;
    private final ForwardingMetrics metrics;
    private final TimeSource time;
    private final Supplier<StreamReading> reading;
    private final RemovalHold hold;
    private final Map<String, KeyedRecord> heldRemovals = new HashMap<>();
    private long copyReadMillis = StreamCoverage.UNKNOWN_MILLIS;
    private boolean hasReadSnapshot;
    private boolean readingCopy;

    /**
     * Creates a reader.
     *
     * @param directory receives the entries, not null
     * @param events notified of targets that change or leave, not null
     * @param metrics counts the ready targets, not null
     * @param time the clock and timers, not null
     * @param reading supplies what is known of the records that are being handled, not null
     * @param hold decides how long a removal around an outage is held back, not null
     */
    TargetsReader(
            TargetDirectory directory,
            TargetEvents events,
            ForwardingMetrics metrics,
            TimeSource time,
            Supplier<StreamReading> reading,
            RemovalHold hold) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.events = Objects.requireNonNull(events, "events");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.time = Objects.requireNonNull(time, "time");
        this.reading = Objects.requireNonNull(reading, "reading");
        this.hold = Objects.requireNonNull(hold, "hold");
    }

    /** Returns whether the complete list was read at least once. */
    boolean hasReadSnapshot() {
        return hasReadSnapshot;
    }

    @Override
    public void onRecord(KeyedRecord record) {
        Optional<Incarnation> listed = decode(record);
        StreamReading readIn = reading.get();
        if (readingCopy && listed.isPresent() && directory.isRemoved(record.key())) {
            LogEvent.of("target_only_in_copy")
                    .with("target", record.key())
                    .with("offset", LogPosition.describe(record.offset()))
                    .info(log);
            return;
        }
        long heldMillis = listed.isEmpty() ? heldMillis(record.key(), readIn) : 0;
        if (heldMillis > 0) {
            heldRemovals.put(record.key(), record);
            LogEvent.of("target_lapsed_in_outage")
                    .with("target", record.key())
                    .with("offset", LogPosition.describe(record.offset()))
                    .with("maxAgeMillis", maxAgeMillis(readIn))
                    .with("via", readIn.source().label())
                    .with("heldMillis", heldMillis)
                    .info(log);
            time.schedule(heldMillis, () -> applyHeldRemoval(record, readIn));
            return;
        }
        heldRemovals.remove(record.key());
        apply(record.key(), record.offset(), listed, readIn);
    }

    /** Returns how long a removal is held back: not at all if the target announced its stop. */
    private long heldMillis(String id, StreamReading readIn) {
        return directory.find(id).filter(target -> !target.draining()).isPresent() ? heldMillis(readIn) : 0;
    }

    private long heldMillis(StreamReading readIn) {
        long nowMillis = time.monotonicMillis();
        long returnedMillis = Math.max(copyReadMillis, readIn.storeReturnedMillis());
        return hold.heldUntilMillis(nowMillis, readIn.acknowledgedAfterMillis(), returnedMillis) - nowMillis;
    }

    private void applyHeldRemoval(KeyedRecord record, StreamReading readIn) {
        if (heldRemovals.remove(record.key(), record)) {
            apply(record.key(), record.offset(), Optional.empty(), readIn);
        }
    }

    private void apply(String id, long offset, Optional<Incarnation> listed, StreamReading readIn) {
        Optional<Incarnation> previous = directory.find(id);
        boolean wasReady = previous.filter(target -> !target.draining()).isPresent();
        if (!directory.apply(id, offset, listed)) {
            return;
        }
        // The directory keeps an incarnation draining that said so in an answer, whatever its entry says.
        Optional<Incarnation> current = directory.find(id);
        LogEvent.of("target_listed")
                .with("target", id)
                .with("offset", LogPosition.describe(offset))
                .with("service", current.map(Incarnation::service).orElse(""))
                .with("address", current.map(Incarnation::address).orElse(""))
                .with("stage", current.map(Incarnation::stage).orElse(null))
                .with("version", current.map(Incarnation::softwareVersion).orElse(""))
                .with(
                        "state",
                        current.map(each -> each.draining() ? "leaving" : "ready")
                                .orElse("gone"))
                .with("bornMillis", current.map(Incarnation::startedMillis).orElse(0L))
                .with("maxAgeMillis", maxAgeMillis(readIn))
                .with("via", readIn.source().label())
                .info(log);
        if (isRestarted(previous, current)) {
            events.handleTargetRestart(id);
        }
        if (previous.isPresent() && !previous.map(Incarnation::stage).equals(current.map(Incarnation::stage))) {
            events.handleStageChange(id);
        }
        updateAvailability(id, current, wasReady);
    }

    /** Returns the longest time that may have passed since the records of a reading were acknowledged. */
    private long maxAgeMillis(StreamReading readIn) {
        return time.monotonicMillis() - readIn.acknowledgedAfterMillis();
    }

    private static boolean isRestarted(Optional<Incarnation> previous, Optional<Incarnation> listed) {
        return previous.isPresent()
                && listed.isPresent()
                && previous.get().startedMillis() != listed.get().startedMillis();
    }

    private void updateAvailability(String id, Optional<Incarnation> listed, boolean wasReady) {
        if (listed.isEmpty() || listed.get().draining()) {
            events.removeTarget(id);
        }
        if (listed.isEmpty() && wasReady) {
            events.handleTargetLost(id);
        }
        metrics.setReadyTargets(directory.readyCount());
    }

    /**
     * Returns the target that an entry describes, by which a changed entry differs from one that was only renewed.
     *
     * @param record the entry, not null
     * @return the target; empty if it is gone or the entry cannot be decoded
     */
    static Object targetOf(KeyedRecord record) {
        return decode(record);
    }

    private static Optional<Incarnation> decode(KeyedRecord record) {
        if (record.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    TargetEntryDecoder.decode(record.key(), record.value().get()));
        } catch (IOException e) {
            LogEvent.of("target_not_understood")
                    .with("target", record.key())
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }

    @Override
    public void onSnapshotComplete(Set<String> keys, long endOffset) {
        hasReadSnapshot = true;
        readingCopy = false;
        long heldMillis = heldMillis(reading.get());
        if (heldMillis > 0) {
            time.schedule(heldMillis, () -> retainListed(keys, endOffset));
        } else {
            retainListed(keys, endOffset);
        }
    }

    private void retainListed(Set<String> keys, long endOffset) {
        for (String id : directory.retainListed(keys, endOffset)) {
            LogEvent.of("target_not_listed").with("target", id).info(log);
            updateAvailability(id, Optional.empty(), false);
        }
    }

    @Override
    public void onStoreCameBack() {
        readingCopy = true;
        copyReadMillis = time.monotonicMillis();
        LogEvent.of("store_came_back").with("stream", "targets").info(log);
    }

    @Override
    public void onReconnected() {
        LogEvent.of("store_regained").with("stream", "targets").info(log);
    }

    @Override
    public void onDisconnected(String reason) {
        LogEvent.of("store_lost")
                .with("stream", "targets")
                .with("reason", reason)
                .warn(log);
    }
}
