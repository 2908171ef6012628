package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.follow.FollowListener;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.platform.TargetEntryDecoder;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.ForwardingService;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the directory of targets as the platform's list tells it. */
final class TargetsReader implements FollowListener {

    private static final Logger log = LoggerFactory.getLogger(TargetsReader.class);

    private final TargetDirectory directory;
    private final ForwardingService service;
    private final ForwardingMetrics metrics;
    private boolean readOnce;

    TargetsReader(TargetDirectory directory, ForwardingService service, ForwardingMetrics metrics) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.service = Objects.requireNonNull(service, "service");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Whether the list was read whole at least once. */
    boolean readOnce() {
        return readOnce;
    }

    @Override
    public void record(KeyedRecord record) {
        Optional<Incarnation> stated = decode(record);
        if (!directory.apply(record.key(), record.offset(), stated)) {
            return;
        }
        LogEvent.of("target_listed")
                .with("target", record.key())
                .with("offset", record.offset())
                .with("service", stated.map(Incarnation::service).orElse(""))
                .with("address", stated.map(Incarnation::address).orElse(""))
                .with("stage", stated.map(Incarnation::stage).orElse(null))
                .with(
                        "state",
                        stated.map(each -> each.leaving() ? "leaving" : "ready").orElse("gone"))
                .info(log);
        changed(record.key(), stated);
    }

    private void changed(String id, Optional<Incarnation> stated) {
        if (stated.isEmpty() || stated.get().leaving()) {
            service.forgetTarget(id);
        }
        metrics.showTargets(
                (int) directory.all().stream().filter(each -> !each.leaving()).count());
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
    public void readWhole(Set<String> keys, long endOffset) {
        readOnce = true;
        for (String id : directory.retain(keys, endOffset)) {
            LogEvent.of("target_not_listed").with("target", id).info(log);
            changed(id, Optional.empty());
        }
    }

    @Override
    public void regained() {
        LogEvent.of("store_regained").with("stream", "targets").info(log);
    }

    @Override
    public void lost(String reason) {
        LogEvent.of("store_lost")
                .with("stream", "targets")
                .with("reason", reason)
                .warn(log);
    }
}
