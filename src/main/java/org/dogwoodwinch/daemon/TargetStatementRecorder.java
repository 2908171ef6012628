package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetRests;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.TargetStatements;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies what targets state about themselves in their responses, and publishes to all instances that a target is
 * leaving, since that holds for all of them. Confined to one event loop.
 *
 * <p>Load: many instances, each of which sends a given target one call in some seconds. Without the update, each of them
 * would learn by a call of its own that the target is leaving; the update costs each instance one entry of some tens of
 * bytes for each target that leaves.
 */
final class TargetStatementRecorder implements TargetStatements {

    private static final Logger log = LoggerFactory.getLogger(TargetStatementRecorder.class);

    /** A newly started instance receives the update until then; it may still read older entries of the store. */
    private static final long TTL_MILLIS = 30_000;

    private static final int FIELD_COUNT = 1;

    private final RelayExchange exchange;
    private final TargetDirectory directory;
    private final TargetRests rests;
    private final ForwardingMetrics metrics;
    private final Consumer<String> onLeaving;

    /**
     * Creates a recorder.
     *
     * @param exchange sends updates to the other instances and receives theirs, not null
     * @param directory the listed targets, not null
     * @param rests the targets that asked this instance for a rest, not null
     * @param metrics counts the statements, not null
     * @param onLeaving receives the id of each target of which it was unknown that it is leaving, not null
     */
    TargetStatementRecorder(
            RelayExchange exchange,
            TargetDirectory directory,
            TargetRests rests,
            ForwardingMetrics metrics,
            Consumer<String> onLeaving) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.rests = Objects.requireNonNull(rests, "rests");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.onLeaving = Objects.requireNonNull(onLeaving, "onLeaving");
    }

    /** Starts to receive the updates of the other instances. */
    void start() {
        exchange.subscribe(PeerTopic.TARGET_LEAVES, this::onUpdate);
    }

    @Override
    public void recordLeaving(String targetId, long startedMillis) {
        if (applyLeaving(targetId, startedMillis, "")) {
            exchange.publish(
                    PeerTopic.TARGET_LEAVES,
                    targetId,
                    Packing.pack(startedMillis, (packer, millis) -> {
                        packer.packArrayHeader(FIELD_COUNT);
                        packer.packLong(millis);
                    }),
                    TTL_MILLIS);
        }
    }

    /** Other instances are not told: the target asked this one alone, and may have room for them. */
    @Override
    public void recordRest(String targetId, long startedMillis, long restMillis) {
        long effectiveMillis = rests.recordRest(targetId, startedMillis, restMillis);
        metrics.targetStatement("rest", "answer");
        LogEvent.of("target_rests")
                .with("target", targetId)
                .with("bornMillis", startedMillis)
                .with("statedMillis", restMillis)
                .with("restMillis", effectiveMillis)
                .info(log);
    }

    @Override
    public boolean isResting(String targetId, long startedMillis) {
        return rests.isResting(targetId, startedMillis);
    }

    private boolean applyLeaving(String targetId, long startedMillis, String peer) {
        if (!directory.recordLeaving(targetId, startedMillis)) {
            return false;
        }
        metrics.targetStatement("leaving", peer.isEmpty() ? "answer" : "peer");
        metrics.setReadyTargets(directory.readyCount());
        onLeaving.accept(targetId);
        LogEvent.of("target_leaves")
                .with("target", targetId)
                .with("bornMillis", startedMillis)
                .with("peer", peer)
                .info(log);
        return true;
    }

    private void onUpdate(PeerUpdate update) {
        try {
            long startedMillis = Packing.unpack(update.payload().toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELD_COUNT);
                return unpacker.unpackLong();
            });
            applyLeaving(update.key(), startedMillis, update.origin());
        } catch (IOException e) {
            LogEvent.of("target_leaves_not_understood")
                    .with("peer", update.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }
}
