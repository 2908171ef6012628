package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.Objects;
import java.util.function.ToLongFunction;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes all instances send no calls to an engine while it changes its stage: the engine rejects calls that have not
 * started there, and each rejected call is retried at the expense of the retry budget.
 */
final class EnginesAway {

    private static final Logger log = LoggerFactory.getLogger(EnginesAway.class);

    /** A newly started instance is informed for about as long as an engine may be unavailable. */
    private static final long TTL_MILLIS = 15_000;

    private static final int FIELD_COUNT = 2;

    private final RelayExchange exchange;
    private final TargetHealth health;
    private final ToLongFunction<String> startedMillis;

    EnginesAway(RelayExchange exchange, TargetHealth health, ToLongFunction<String> startedMillis) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.health = Objects.requireNonNull(health, "health");
        this.startedMillis = Objects.requireNonNull(startedMillis, "startedMillis");
    }

    /** Starts to receive stage changes. */
    void start() {
        exchange.subscribe(PeerTopic.LEAVING, this::onUpdate);
    }

    /**
     * Sends an engine no calls, and publishes this to the other instances.
     *
     * @param engineId the engine's id, not null
     * @param durationMillis the maximum duration; zero if the engine is available again
     */
    void publish(String engineId, long durationMillis) {
        apply(engineId, durationMillis);
        StageChangeMessage message = new StageChangeMessage(startedMillis.applyAsLong(engineId), durationMillis);
        exchange.publish(PeerTopic.LEAVING, engineId, message.encode(), TTL_MILLIS);
    }

    private void onUpdate(PeerUpdate update) {
        try {
            StageChangeMessage message = StageChangeMessage.decode(update.payload());
            if (message.startedMillis != startedMillis.applyAsLong(update.key())) {
                return;
            }
            apply(update.key(), message.durationMillis - update.ageMillis());
            LogEvent.of("engine_away")
                    .with("target", update.key())
                    .with("millis", message.durationMillis)
                    .with("peer", update.origin())
                    .info(log);
        } catch (IOException e) {
            LogEvent.of("engine_away_not_understood")
                    .with("peer", update.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void apply(String engineId, long durationMillis) {
        if (durationMillis > 0) {
            health.startStageChange(engineId, durationMillis);
        } else {
            health.endStageChange(engineId);
        }
    }

    /**
     * A stage change as encoded in a message.
     *
     * @param startedMillis the start time of the engine, which identifies its incarnation
     * @param durationMillis the maximum duration; zero if the engine is available again
     */
    private record StageChangeMessage(long startedMillis, long durationMillis) {

        Bytes encode() {
            return Packing.pack(this, (packer, message) -> {
                packer.packArrayHeader(FIELD_COUNT);
                packer.packLong(message.startedMillis);
                packer.packLong(message.durationMillis);
            });
        }

        static StageChangeMessage decode(Bytes payload) throws IOException {
            return Packing.unpack(payload.toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELD_COUNT);
                return new StageChangeMessage(unpacker.unpackLong(), unpacker.unpackLong());
            });
        }
    }
}
