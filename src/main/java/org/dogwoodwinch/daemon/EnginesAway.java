package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.TellerExchange;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets all instances leave an engine alone while it changes its stage: what has not started there is rejected, and each
 * rejection is an arrival that the retry budget pays for.
 */
final class EnginesAway {

    private static final Logger log = LoggerFactory.getLogger(EnginesAway.class);

    /** A newcomer hears of an engine that is away for a little longer than it is. */
    private static final long KEEP_MILLIS = 5_000;

    private final TellerExchange exchange;
    private final TargetHealth health;

    EnginesAway(TellerExchange exchange, TargetHealth health) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.health = Objects.requireNonNull(health, "health");
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
        exchange.publish(PeerTopic.LEAVING, engineId, Packing.pack(millis, MessagePacker::packLong), KEEP_MILLIS);
    }

    private void heard(PeerItem item) {
        try {
            long millis = unpack(item.payload());
            apply(item.key(), millis - item.ageMillis());
            LogEvent.of("engine_away")
                    .with("target", item.key())
                    .with("millis", millis)
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
            health.away(engineId, millis);
        } else {
            health.back(engineId);
        }
    }

    private static long unpack(Bytes payload) throws IOException {
        return Packing.unpack(payload.toByteArray(), MessageUnpacker::unpackLong);
    }
}
