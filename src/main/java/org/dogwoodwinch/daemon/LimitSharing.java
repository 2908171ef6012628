package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.function.ToLongFunction;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.RateLimitShares;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.relay.StatedRateLimits;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes to all instances the rate limit that a target stated to one of them.
 *
 * <p>Load: many instances, each of which sends a given target one call in some seconds. Without this exchange, each
 * would send its first calls without knowing the limit, and the target would receive all of them; an instance that
 * sends no calls there would never learn that the limit has ended.
 *
 * <p>Changes are published at once. The few instances that hold a share of the limit repeat it, and an instance that
 * has missed the end of a limit discards it when it is no longer repeated.
 */
final class LimitSharing implements StatedRateLimits {

    private static final Logger log = LoggerFactory.getLogger(LimitSharing.class);

    /** Several repetitions may be lost before a limit expires. */
    private static final long REPEAT_INTERVAL_MILLIS = 2_000;

    /** A newly started instance receives the last update until the next repetition. */
    private static final long TTL_MILLIS = 5_000;

    private static final int FIELD_COUNT = 3;

    private final RelayExchange exchange;
    private final TargetRateLimits limits;
    private final RateLimitShares shares;
    private final ToLongFunction<String> startedMillis;
    private final TimeSource time;
    private final Map<String, Long> publishedAtMillis = new HashMap<>();

    LimitSharing(
            RelayExchange exchange,
            TargetRateLimits limits,
            RateLimitShares shares,
            ToLongFunction<String> startedMillis,
            TimeSource time) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.shares = Objects.requireNonNull(shares, "shares");
        this.startedMillis = Objects.requireNonNull(startedMillis, "startedMillis");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to send and receive limits. */
    void start() {
        exchange.subscribe(PeerTopic.TARGET_LIMIT, this::onUpdate);
        exchange.beforeEachRound(this::publishRound);
    }

    @Override
    public void recordResponse(Incarnation target, OptionalDouble callsPerSecond, long sentMillis) {
        if (target.startedMillis() != startedMillis.applyAsLong(target.id())) {
            return;
        }
        TargetRateLimits.LimitChange change = limits.recordAnswer(target.id(), callsPerSecond, sentMillis);
        if (change != TargetRateLimits.LimitChange.NONE) {
            log(target.id(), change, callsPerSecond, "");
            publish(target.id(), callsPerSecond, time.monotonicMillis());
        }
    }

    @Override
    public void removeTarget(String targetId) {
        limits.remove(targetId);
        publishedAtMillis.remove(targetId);
    }

    private void publishRound() {
        shares.refresh();
        limits.expire().forEach(id -> log(id, TargetRateLimits.LimitChange.LAPSED, OptionalDouble.empty(), ""));
        publishedAtMillis.keySet().removeIf(id -> !limits.isRateLimited(id));
        long nowMillis = time.monotonicMillis();
        limits.heldLimits().forEach((id, stated) -> {
            if (nowMillis - publishedAtMillis.getOrDefault(id, 0L) >= REPEAT_INTERVAL_MILLIS) {
                publish(id, OptionalDouble.of(stated.callsPerSecond()), stated.statedMillis());
            }
        });
    }

    private void publish(String targetId, OptionalDouble callsPerSecond, long statedMillis) {
        long nowMillis = time.monotonicMillis();
        publishedAtMillis.put(targetId, nowMillis);
        LimitMessage message =
                new LimitMessage(startedMillis.applyAsLong(targetId), callsPerSecond, nowMillis - statedMillis);
        exchange.publish(PeerTopic.TARGET_LIMIT, targetId, message.encode(), TTL_MILLIS);
    }

    private void onUpdate(PeerUpdate update) {
        try {
            LimitMessage message = LimitMessage.decode(update.payload());
            if (message.startedMillis == startedMillis.applyAsLong(update.key())) {
                long statedMillis = time.monotonicMillis() - update.ageMillis() - message.statedAgoMillis;
                TargetRateLimits.LimitChange change =
                        limits.recordPeerReport(update.key(), message.callsPerSecond, statedMillis);
                if (change != TargetRateLimits.LimitChange.NONE) {
                    log(update.key(), change, message.callsPerSecond, update.origin());
                }
            }
        } catch (IOException e) {
            LogEvent.of("target_limit_not_understood")
                    .with("peer", update.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void log(String targetId, TargetRateLimits.LimitChange change, OptionalDouble callsPerSecond, String peer) {
        LogEvent event = LogEvent.of("target_limit")
                .with("target", targetId)
                .with("news", change.name().toLowerCase(Locale.ROOT))
                .with("peer", peer);
        callsPerSecond.ifPresent(
                limit -> event.with("perSecond", limit).with("ownPerSecond", shares.sharePerSecond(targetId, limit)));
        event.info(log);
    }

    /**
     * A limit as encoded in a message.
     *
     * @param startedMillis the start time of the target, which identifies its incarnation
     * @param callsPerSecond the limit; empty if the target no longer states one
     * @param statedAgoMillis the time since the target stated it
     */
    private record LimitMessage(long startedMillis, OptionalDouble callsPerSecond, long statedAgoMillis) {

        Bytes encode() {
            return Packing.pack(this, (packer, message) -> {
                packer.packArrayHeader(FIELD_COUNT);
                packer.packLong(message.startedMillis);
                if (message.callsPerSecond.isPresent()) {
                    packer.packDouble(message.callsPerSecond.getAsDouble());
                } else {
                    packer.packNil();
                }
                packer.packLong(message.statedAgoMillis);
            });
        }

        static LimitMessage decode(Bytes payload) throws IOException {
            return Packing.unpack(payload.toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELD_COUNT);
                long startedMillis = unpacker.unpackLong();
                boolean noLimit = unpacker.tryUnpackNil();
                OptionalDouble limit = noLimit ? OptionalDouble.empty() : OptionalDouble.of(unpacker.unpackDouble());
                return new LimitMessage(startedMillis, limit, unpacker.unpackLong());
            });
        }
    }
}
