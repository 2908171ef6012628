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
import org.dogwoodwinch.relay.StatedLimits;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets all instances know of the limit that a target named to one.
 *
 * <p>Load: many instances, of which each sends a given target a call in some seconds. Each would send its first calls without
 * knowing, and the target would get them all; whoever does not send there would never know that the limit has ended.
 *
 * <p>News goes out at once. The few that have a share of the limit repeat it: who has missed the end of a limit forgets it
 * when nobody repeats it any more.
 */
final class LimitSharing implements StatedLimits {

    private static final Logger log = LoggerFactory.getLogger(LimitSharing.class);

    /** Several repetitions may be lost before a limit is forgotten. */
    private static final long REPEAT_MILLIS = 2_000;

    /** A newcomer hears what was told last until it is repeated. */
    private static final long KEEP_MILLIS = 5_000;

    private static final int FIELDS = 3;

    private final RelayExchange exchange;
    private final TargetRateLimits limits;
    private final RateLimitShares shares;
    private final ToLongFunction<String> bornMillis;
    private final TimeSource time;
    private final Map<String, Long> toldAtMillis = new HashMap<>();

    LimitSharing(
            RelayExchange exchange,
            TargetRateLimits limits,
            RateLimitShares shares,
            ToLongFunction<String> bornMillis,
            TimeSource time) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.shares = Objects.requireNonNull(shares, "shares");
        this.bornMillis = Objects.requireNonNull(bornMillis, "bornMillis");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Tells and hears from now on. */
    void start() {
        exchange.subscribe(PeerTopic.TARGET_LIMIT, this::heard);
        exchange.beforeEachRound(this::round);
    }

    @Override
    public void answered(Incarnation target, OptionalDouble perSecond, long sentMillis) {
        if (target.startedMillis() != bornMillis.applyAsLong(target.id())) {
            return;
        }
        TargetRateLimits.LimitChange news = limits.recordAnswer(target.id(), perSecond, sentMillis);
        if (news != TargetRateLimits.LimitChange.NONE) {
            log(target.id(), news, perSecond, "");
            tell(target.id(), perSecond, time.monotonicMillis());
        }
    }

    @Override
    public void forget(String targetId) {
        limits.remove(targetId);
        toldAtMillis.remove(targetId);
    }

    private void round() {
        shares.refresh();
        limits.expire().forEach(id -> log(id, TargetRateLimits.LimitChange.LAPSED, OptionalDouble.empty(), ""));
        toldAtMillis.keySet().removeIf(id -> !limits.isRateLimited(id));
        long nowMillis = time.monotonicMillis();
        limits.heldLimits().forEach((id, stated) -> {
            if (nowMillis - toldAtMillis.getOrDefault(id, 0L) >= REPEAT_MILLIS) {
                tell(id, OptionalDouble.of(stated.callsPerSecond()), stated.statedMillis());
            }
        });
    }

    private void tell(String targetId, OptionalDouble perSecond, long statedMillis) {
        long nowMillis = time.monotonicMillis();
        toldAtMillis.put(targetId, nowMillis);
        Word word = new Word(bornMillis.applyAsLong(targetId), perSecond, nowMillis - statedMillis);
        exchange.publish(PeerTopic.TARGET_LIMIT, targetId, word.encode(), KEEP_MILLIS);
    }

    private void heard(PeerUpdate item) {
        try {
            Word word = Word.decode(item.payload());
            if (word.bornMillis == bornMillis.applyAsLong(item.key())) {
                long statedMillis = time.monotonicMillis() - item.ageMillis() - word.statedAgoMillis;
                TargetRateLimits.LimitChange news = limits.recordPeerReport(item.key(), word.perSecond, statedMillis);
                if (news != TargetRateLimits.LimitChange.NONE) {
                    log(item.key(), news, word.perSecond, item.origin());
                }
            }
        } catch (IOException e) {
            LogEvent.of("target_limit_not_understood")
                    .with("peer", item.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void log(String targetId, TargetRateLimits.LimitChange news, OptionalDouble perSecond, String peer) {
        LogEvent event = LogEvent.of("target_limit")
                .with("target", targetId)
                .with("news", news.name().toLowerCase(Locale.ROOT))
                .with("peer", peer);
        perSecond.ifPresent(
                limit -> event.with("perSecond", limit).with("ownPerSecond", shares.sharePerSecond(targetId, limit)));
        event.info(log);
    }

    /**
     * What is told.
     *
     * @param bornMillis the target's birth
     * @param perSecond the limit, empty where it names none any more
     * @param statedAgoMillis how long ago the target stated it
     */
    private record Word(long bornMillis, OptionalDouble perSecond, long statedAgoMillis) {

        Bytes encode() {
            return Packing.pack(this, (packer, word) -> {
                packer.packArrayHeader(FIELDS);
                packer.packLong(word.bornMillis);
                if (word.perSecond.isPresent()) {
                    packer.packDouble(word.perSecond.getAsDouble());
                } else {
                    packer.packNil();
                }
                packer.packLong(word.statedAgoMillis);
            });
        }

        static Word decode(Bytes payload) throws IOException {
            return Packing.unpack(payload.toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELDS);
                long born = unpacker.unpackLong();
                boolean none = unpacker.tryUnpackNil();
                OptionalDouble limit = none ? OptionalDouble.empty() : OptionalDouble.of(unpacker.unpackDouble());
                return new Word(born, limit, unpacker.unpackLong());
            });
        }
    }
}
