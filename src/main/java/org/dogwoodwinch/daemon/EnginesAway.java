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
 * Lets all instances leave an engine alone while it changes its stage: what has not started there is rejected, and each
 * rejection is an arrival that the retry budget pays for.
 */
final class EnginesAway {

    private static final Logger log = LoggerFactory.getLogger(EnginesAway.class);

    /** A newcomer hears of an engine that is away about as long as one may be. */
    private static final long KEEP_MILLIS = 15_000;

    private static final int FIELDS = 2;

    private final RelayExchange exchange;
    private final TargetHealth health;
    private final ToLongFunction<String> bornMillis;

    EnginesAway(RelayExchange exchange, TargetHealth health, ToLongFunction<String> bornMillis) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.health = Objects.requireNonNull(health, "health");
        this.bornMillis = Objects.requireNonNull(bornMillis, "bornMillis");
    }

    /** Hears from now on. */
    void start() {
        exchange.subscribe(PeerTopic.LEAVING, this::heard);
    }

    /**
     * Leaves an engine alone, and tells the others.
     *
     * @param engineId the engine, not null
     * @param millis for how long; zero where it is back
     */
    void tell(String engineId, long millis) {
        apply(engineId, millis);
        Word word = new Word(bornMillis.applyAsLong(engineId), millis);
        exchange.publish(PeerTopic.LEAVING, engineId, word.encode(), KEEP_MILLIS);
    }

    private void heard(PeerUpdate item) {
        try {
            Word word = Word.decode(item.payload());
            if (word.bornMillis != bornMillis.applyAsLong(item.key())) {
                return;
            }
            apply(item.key(), word.awayMillis - item.ageMillis());
            LogEvent.of("engine_away")
                    .with("target", item.key())
                    .with("millis", word.awayMillis)
                    .with("peer", item.origin())
                    .info(log);
        } catch (IOException e) {
            LogEvent.of("engine_away_not_understood")
                    .with("peer", item.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void apply(String engineId, long millis) {
        if (millis > 0) {
            health.startStageChange(engineId, millis);
        } else {
            health.endStageChange(engineId);
        }
    }

    /**
     * What is told.
     *
     * @param bornMillis the engine's birth
     * @param awayMillis how long it is left alone; zero where it is back
     */
    private record Word(long bornMillis, long awayMillis) {

        Bytes encode() {
            return Packing.pack(this, (packer, word) -> {
                packer.packArrayHeader(FIELDS);
                packer.packLong(word.bornMillis);
                packer.packLong(word.awayMillis);
            });
        }

        static Word decode(Bytes payload) throws IOException {
            return Packing.unpack(payload.toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELDS);
                return new Word(unpacker.unpackLong(), unpacker.unpackLong());
            });
        }
    }
}
