package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.PartIndex;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.TellerExchange;
import org.dogwoodwinch.relay.CacheListener;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the instances of a data centre which parts of prompts an engine keeps, as the one that watches the engine hears.
 *
 * <p>Changes are told once a round. Words may be lost, and a new watcher may have missed changes: the whole list is told
 * now and then, so that a wrong belief costs some reading and lasts no longer than that.
 */
final class KeptSharing implements CacheListener {

    private static final Logger log = LoggerFactory.getLogger(KeptSharing.class);

    /** Parts that are read within some milliseconds are not worth a word: most calls have such parts of their own. */
    private static final int LEAST_TOKENS = 512;

    /** Between two whole lists of one engine: some hundred parts of twenty bytes, so a kilobyte a second at the most. */
    private static final long WHOLE_EVERY_MILLIS = 5_000;

    private static final long KEEP_MILLIS = 10_000;

    private final TellerExchange exchange;
    private final PartIndex parts;
    private final ToLongFunction<String> bornMillis;
    private final TimeSource time;
    private final Map<String, Told> engines = new HashMap<>();

    KeptSharing(TellerExchange exchange, PartIndex parts, ToLongFunction<String> bornMillis, TimeSource time) {
        this.bornMillis = Objects.requireNonNull(bornMillis, "bornMillis");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.time = Objects.requireNonNull(time, "time");
        exchange.subscribe(PeerTopic.KEPT_PARTS, this::heard);
        exchange.eachRound(this::round);
    }

    @Override
    public void changed(String engineId, String partId, int keptTokens) {
        Told told = engines.computeIfAbsent(engineId, _id -> new Told());
        if (keptTokens >= LEAST_TOKENS) {
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
        Map<String, Integer> kept = parts.keptAtLeast(engineId, LEAST_TOKENS);
        boolean nothingEver = kept.isEmpty() && told.known.isEmpty();
        told.known.clear();
        told.known.addAll(kept.keySet());
        if (!nothingEver) {
            tell(engineId, true, kept);
        }
    }

    private void tell(String engineId, boolean whole, Map<String, Integer> kept) {
        Bytes word = Packing.pack(kept, (packer, parts) -> {
            packer.packLong(bornMillis.applyAsLong(engineId));
            packer.packBoolean(whole);
            Packing.writeNumbers(packer, parts);
        });
        exchange.publish(PeerTopic.KEPT_PARTS, engineId, word, KEEP_MILLIS);
    }

    private void heard(PeerItem item) {
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
                parts.forget(item.key());
            }
            word.tokens().forEach((part, tokens) -> parts.kept(item.key(), part, Math.toIntExact(tokens)));
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
