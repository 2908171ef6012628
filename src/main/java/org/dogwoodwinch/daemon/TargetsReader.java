package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.StreamListener;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.platform.TargetEntryDecoder;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.ForwardingService;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the directory of targets as the platform's list tells it. Used on one event loop alone.
 *
 * <p>Failure: while the store is away, entries of sound targets lapse, as their words do not arrive; on its return all
 * look gone for a moment and every call would be refused. Such entries come back within about two seconds, so a lapse
 * that is read just after an outage counts only when it has stood for a while, within the time in which a target that is
 * really gone has to be left alone.
 */
final class TargetsReader implements StreamListener {

    private static final Logger log = LoggerFactory.getLogger(TargetsReader.class);

    private final TargetDirectory directory;
    private final ForwardingService service;
    private final ForwardingMetrics metrics;
    private final TimeSource time;
    private final long lapseMillis;
    private final Set<String> lapsed = new HashSet<>();
    private long regainedAtMillis = Long.MIN_VALUE / 2;
    private boolean reachable = true;
    private boolean readOnce;

    TargetsReader(
            TargetDirectory directory,
            ForwardingService service,
            ForwardingMetrics metrics,
            TimeSource time,
            long lapseMillis) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.service = Objects.requireNonNull(service, "service");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.time = Objects.requireNonNull(time, "time");
        this.lapseMillis = lapseMillis;
    }

    /** Whether the list was read whole at least once. */
    boolean readOnce() {
        return readOnce;
    }

    @Override
    public void onRecord(KeyedRecord record) {
        Optional<Incarnation> stated = decode(record);
        if (stated.isEmpty() && lapsedInOutage(record.key())) {
            lapsed.add(record.key());
            LogEvent.of("target_lapsed_in_outage")
                    .with("target", record.key())
                    .with("offset", record.offset())
                    .info(log);
            time.schedule(lapseMillis, () -> endLapse(record));
            return;
        }
        lapsed.remove(record.key());
        apply(record.key(), record.offset(), stated);
    }

    /** A target that said it leaves is not waited for. */
    private boolean lapsedInOutage(String id) {
        boolean justRegained = !reachable || time.monotonicMillis() - regainedAtMillis < lapseMillis;
        return justRegained
                && directory.find(id).filter(target -> !target.draining()).isPresent();
    }

    private void endLapse(KeyedRecord record) {
        if (lapsed.remove(record.key())) {
            apply(record.key(), record.offset(), Optional.empty());
        }
    }

    private void apply(String id, long offset, Optional<Incarnation> stated) {
        Optional<Incarnation> before = directory.find(id);
        boolean wasReady = before.filter(target -> !target.draining()).isPresent();
        if (!directory.apply(id, offset, stated)) {
            return;
        }
        LogEvent.of("target_listed")
                .with("target", id)
                .with("offset", offset)
                .with("service", stated.map(Incarnation::service).orElse(""))
                .with("address", stated.map(Incarnation::address).orElse(""))
                .with("stage", stated.map(Incarnation::stage).orElse(null))
                .with(
                        "state",
                        stated.map(each -> each.draining() ? "leaving" : "ready")
                                .orElse("gone"))
                .with("bornMillis", stated.map(Incarnation::startedMillis).orElse(0L))
                .info(log);
        if (startedAgain(before, stated)) {
            service.targetStartedAgain(id);
        }
        if (before.isPresent() && !before.map(Incarnation::stage).equals(stated.map(Incarnation::stage))) {
            service.targetChangedStage(id);
        }
        changed(id, stated, wasReady);
    }

    private static boolean startedAgain(Optional<Incarnation> before, Optional<Incarnation> stated) {
        return before.isPresent()
                && stated.isPresent()
                && before.get().startedMillis() != stated.get().startedMillis();
    }

    private void changed(String id, Optional<Incarnation> stated, boolean wasReady) {
        if (stated.isEmpty() || stated.get().draining()) {
            service.forgetTarget(id);
        }
        if (stated.isEmpty() && wasReady) {
            service.targetFoundGone(id);
        }
        metrics.showTargets(directory.readyCount());
    }

    /**
     * Returns what an entry says of its target, to tell news from an entry that was only renewed.
     *
     * @param record the entry, not null
     * @return the target, empty where it is gone or the entry names none
     */
    static Object meaning(KeyedRecord record) {
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
        readOnce = true;
        if (time.monotonicMillis() - regainedAtMillis < lapseMillis) {
            time.schedule(lapseMillis, () -> retain(keys, endOffset));
        } else {
            retain(keys, endOffset);
        }
    }

    private void retain(Set<String> keys, long endOffset) {
        for (String id : directory.retainListed(keys, endOffset)) {
            LogEvent.of("target_not_listed").with("target", id).info(log);
            changed(id, Optional.empty(), false);
        }
    }

    @Override
    public void onReconnected() {
        reachable = true;
        regainedAtMillis = time.monotonicMillis();
        LogEvent.of("store_regained").with("stream", "targets").info(log);
    }

    @Override
    public void onDisconnected(String reason) {
        reachable = false;
        LogEvent.of("store_lost")
                .with("stream", "targets")
                .with("reason", reason)
                .warn(log);
    }
}
