package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.relay.CacheListener;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the instances of a data centre which parts of prompts an engine keeps, as the one that watches the engine hears.
 *
 * <p>Load: two of three parts that engines read are the request's own, and each is told to each instance of the data centre
 * by one, whose link is as narrow as the others'. Where relays do so, only parts that other requests may name again are told. An engine does
 * not say which these are; instances know it from the prompts of their calls, and tell each other each such part once.
 *
 * <p>Changes are told once a round. Words may be lost, and a new watcher may have missed changes: the whole list is told
 * now and then, so that a wrong belief costs some reading and lasts no longer than that.
 */
final class KeptSharing implements CacheListener {

    private static final Logger log = LoggerFactory.getLogger(KeptSharing.class);

    /** Parts that are read within some milliseconds are not worth a word: most calls have such parts of their own. */
    private static final int LEAST_TOKENS = 512;

    /**
     * Between two whole lists of one engine. Many engines' lists share the link of the instance that passes them on; an
     * instance that starts among others waits so long at most until it knows where parts are kept.
     */
    private static final long WHOLE_EVERY_MILLIS = 8_000;

    private static final long KEEP_MILLIS = 16_000;
    private static final long NEWS_KEEP_MILLIS = 5_000;

    private final RelayExchange exchange;
    private final KvCacheIndex parts;
    private final ToLongFunction<String> bornMillis;
    private final TimeSource time;
    private final Map<String, Told> engines = new HashMap<>();
    private final List<String> learned = new ArrayList<>();
    private long newsCount;

    KeptSharing(RelayExchange exchange, KvCacheIndex parts, ToLongFunction<String> bornMillis, TimeSource time) {
        this.bornMillis = Objects.requireNonNull(bornMillis, "bornMillis");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.time = Objects.requireNonNull(time, "time");
        exchange.subscribe(PeerTopic.KEPT_PARTS, this::heard);
        exchange.subscribe(PeerTopic.SHARED_PARTS, this::heardShared);
        exchange.beforeEachRound(this::round);
    }

    @Override
    public void changed(String engineId, String partId, int keptTokens) {
        Told told = engines.computeIfAbsent(engineId, _id -> new Told());
        if (keptTokens >= LEAST_TOKENS && worthAWord(partId)) {
            told.known.add(partId);
            told.changes.put(partId, keptTokens);
        } else if (told.known.remove(partId)) {
            told.changes.put(partId, keptTokens);
        }
    }

    @Override
    public void listed(String engineId) {
        engines.computeIfAbsent(engineId, _id -> new Told()).wholeAtMillis = Long.MIN_VALUE;
    }

    @Override
    public void unwatched(String engineId) {
        engines.remove(engineId);
    }

    private void round() {
        tellShared();
        engines.forEach((engineId, told) -> {
            if (time.monotonicMillis() >= told.wholeAtMillis) {
                tellWhole(engineId, told);
            } else if (!told.changes.isEmpty()) {
                tell(engineId, false, told.changes);
            }
            told.changes.clear();
        });
    }

    private void tellWhole(String engineId, Told told) {
        told.wholeAtMillis = time.monotonicMillis() + WHOLE_EVERY_MILLIS;
        Map<String, Integer> kept = parts.cachedSegments(engineId, LEAST_TOKENS);
        kept.keySet().removeIf(partId -> !worthAWord(partId));
        boolean nothingEver = kept.isEmpty() && told.known.isEmpty();
        told.known.clear();
        told.known.addAll(kept.keySet());
        if (!nothingEver) {
            tell(engineId, true, kept);
        }
    }

    /**
     * In a small fleet every part is. Instances that have all just started know no part to be shared until their calls name
     * it, and each of these calls would be sent where it is not kept.
     */
    private boolean worthAWord(String partId) {
        return !exchange.usesRelays() || parts.sharedSegments().isShared(partId);
    }

    private void tell(String engineId, boolean whole, Map<String, Integer> kept) {
        Bytes word = Packing.pack(kept, (packer, parts) -> {
            packer.packLong(bornMillis.applyAsLong(engineId));
            packer.packBoolean(whole);
            Packing.writeNumbers(packer, parts);
        });
        exchange.publish(PeerTopic.KEPT_PARTS, engineId, word, KEEP_MILLIS);
    }

    /**
     * What was found here, and at a relay what it learnt from others since the last round, in one word.
     *
     * <p>Load: many instances find the same parts in the same moment. Each of their words handed on to each of the others was a
     * quarter of what a relay sent.
     */
    private void tellShared() {
        List<String> news = new ArrayList<>(learned);
        learned.clear();
        news.addAll(parts.sharedSegments().takeNewlyShared());
        if (news.isEmpty()) {
            return;
        }
        news.forEach(this::tellWhereKept);
        Bytes word = Packing.pack(news, (packer, ids) -> Packing.writeAll(packer, ids, MessagePacker::packString));
        exchange.publish(PeerTopic.SHARED_PARTS, Long.toString(newsCount++), word, NEWS_KEEP_MILLIS);
    }

    private void heardShared(PeerUpdate item) {
        try {
            Packing.unpack(
                            item.payload().toByteArray(),
                            unpacker -> Packing.readAll(unpacker, MessageUnpacker::unpackString))
                    .stream()
                    .filter(parts.sharedSegments()::markShared)
                    .forEach(this::learned);
        } catch (IOException e) {
            LogEvent.of("shared_parts_not_understood")
                    .with("peer", item.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void learned(String partId) {
        tellWhereKept(partId);
        if (exchange.usesRelays() && exchange.isRelay()) {
            learned.add(partId);
        }
    }

    /** An engine that is watched here may have said that it keeps the part before it was known to be shared. */
    private void tellWhereKept(String partId) {
        engines.forEach((engineId, told) -> {
            int tokens = parts.cachedTokens(engineId, partId);
            if (tokens >= LEAST_TOKENS && told.known.add(partId)) {
                told.changes.put(partId, tokens);
            }
        });
    }

    private void heard(PeerUpdate item) {
        if (engines.containsKey(item.key())) {
            // What this instance hears from the engine itself is newer.
            return;
        }
        try {
            Word word = Packing.unpack(
                    item.payload().toByteArray(),
                    unpacker ->
                            new Word(unpacker.unpackLong(), unpacker.unpackBoolean(), Packing.readNumbers(unpacker)));
            if (word.bornMillis() != bornMillis.applyAsLong(item.key())) {
                // Of a start that is over here, or not known here yet: the whole list comes again in some seconds.
                return;
            }
            if (word.whole()) {
                parts.removeEngine(item.key());
            }
            word.tokens().forEach((part, tokens) -> {
                if (exchange.usesRelays()) {
                    parts.sharedSegments().markShared(part);
                }
                parts.setCachedTokens(item.key(), part, Math.toIntExact(tokens));
            });
        } catch (IOException | ArithmeticException e) {
            LogEvent.of("kept_parts_not_understood")
                    .with("peer", item.origin())
                    .with("target", item.key())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private static final class Told {
        private final Set<String> known = new HashSet<>();
        private final Map<String, Integer> changes = new LinkedHashMap<>();
        private long wholeAtMillis = Long.MIN_VALUE;
    }

    private record Word(long bornMillis, boolean whole, Map<String, Long> tokens) {}
}
