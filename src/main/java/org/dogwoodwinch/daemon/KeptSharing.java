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
    private static final int MIN_TOKENS = 512;

    /**
     * Between two whole lists of one engine. Many engines' lists share the link of the instance that passes them on; an
     * instance that starts among others waits so long at most until it knows where parts are kept.
     */
    private static final long FULL_LIST_INTERVAL_MILLIS = 8_000;

    private static final long TTL_MILLIS = 16_000;
    private static final long SHARED_TTL_MILLIS = 5_000;

    private final RelayExchange exchange;
    private final KvCacheIndex cacheIndex;
    private final ToLongFunction<String> startedMillis;
    private final TimeSource time;
    private final Map<String, PublishedState> watchedEngines = new HashMap<>();
    private final List<String> receivedShared = new ArrayList<>();
    private long sharedMessageCount;

    KeptSharing(RelayExchange exchange, KvCacheIndex cacheIndex, ToLongFunction<String> startedMillis, TimeSource time) {
        this.startedMillis = Objects.requireNonNull(startedMillis, "startedMillis");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.cacheIndex = Objects.requireNonNull(cacheIndex, "cacheIndex");
        this.time = Objects.requireNonNull(time, "time");
        exchange.subscribe(PeerTopic.KEPT_PARTS, this::onCachedSegments);
        exchange.subscribe(PeerTopic.SHARED_PARTS, this::onSharedSegments);
        exchange.beforeEachRound(this::publishRound);
    }

    @Override
    public void changed(String engineId, String segmentId, int cachedTokens) {
        PublishedState state = watchedEngines.computeIfAbsent(engineId, _id -> new PublishedState());
        if (cachedTokens >= MIN_TOKENS && isWorthPublishing(segmentId)) {
            state.segmentIds.add(segmentId);
            state.pendingChanges.put(segmentId, cachedTokens);
        } else if (state.segmentIds.remove(segmentId)) {
            state.pendingChanges.put(segmentId, cachedTokens);
        }
    }

    @Override
    public void listed(String engineId) {
        watchedEngines.computeIfAbsent(engineId, _id -> new PublishedState()).nextFullListMillis = Long.MIN_VALUE;
    }

    @Override
    public void unwatched(String engineId) {
        watchedEngines.remove(engineId);
    }

    private void publishRound() {
        publishSharedSegments();
        watchedEngines.forEach((engineId, state) -> {
            if (time.monotonicMillis() >= state.nextFullListMillis) {
                publishFullList(engineId, state);
            } else if (!state.pendingChanges.isEmpty()) {
                publish(engineId, false, state.pendingChanges);
            }
            state.pendingChanges.clear();
        });
    }

    private void publishFullList(String engineId, PublishedState state) {
        state.nextFullListMillis = time.monotonicMillis() + FULL_LIST_INTERVAL_MILLIS;
        Map<String, Integer> tokensBySegment = cacheIndex.cachedSegments(engineId, MIN_TOKENS);
        tokensBySegment.keySet().removeIf(segmentId -> !isWorthPublishing(segmentId));
        boolean alwaysEmpty = tokensBySegment.isEmpty() && state.segmentIds.isEmpty();
        state.segmentIds.clear();
        state.segmentIds.addAll(tokensBySegment.keySet());
        if (!alwaysEmpty) {
            publish(engineId, true, tokensBySegment);
        }
    }

    /**
     * In a small fleet every part is. Instances that have all just started know no part to be shared until their calls name
     * it, and each of these calls would be sent where it is not kept.
     */
    private boolean isWorthPublishing(String segmentId) {
        return !exchange.usesRelays() || cacheIndex.sharedSegments().isShared(segmentId);
    }

    private void publish(String engineId, boolean fullList, Map<String, Integer> tokensBySegment) {
        Bytes payload = Packing.pack(tokensBySegment, (packer, cached) -> {
            packer.packLong(startedMillis.applyAsLong(engineId));
            packer.packBoolean(fullList);
            Packing.writeNumbers(packer, cached);
        });
        exchange.publish(PeerTopic.KEPT_PARTS, engineId, payload, TTL_MILLIS);
    }

    /**
     * What was found here, and at a relay what it learnt from others since the last round, in one word.
     *
     * <p>Load: many instances find the same parts in the same moment. Each of their words handed on to each of the others was a
     * quarter of what a relay sent.
     */
    private void publishSharedSegments() {
        List<String> newIds = new ArrayList<>(receivedShared);
        receivedShared.clear();
        newIds.addAll(cacheIndex.sharedSegments().takeNewlyShared());
        if (newIds.isEmpty()) {
            return;
        }
        newIds.forEach(this::queueIfCached);
        Bytes payload = Packing.pack(newIds, (packer, ids) -> Packing.writeAll(packer, ids, MessagePacker::packString));
        exchange.publish(PeerTopic.SHARED_PARTS, Long.toString(sharedMessageCount++), payload, SHARED_TTL_MILLIS);
    }

    private void onSharedSegments(PeerUpdate update) {
        try {
            Packing.unpack(
                            update.payload().toByteArray(),
                            unpacker -> Packing.readAll(unpacker, MessageUnpacker::unpackString))
                    .stream()
                    .filter(cacheIndex.sharedSegments()::markShared)
                    .forEach(this::receivedShared);
        } catch (IOException e) {
            LogEvent.of("shared_parts_not_understood")
                    .with("peer", update.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void receivedShared(String segmentId) {
        queueIfCached(segmentId);
        if (exchange.usesRelays() && exchange.isRelay()) {
            receivedShared.add(segmentId);
        }
    }

    /** An engine that is watched here may have said that it keeps the part before it was known to be shared. */
    private void queueIfCached(String segmentId) {
        watchedEngines.forEach((engineId, state) -> {
            int tokens = cacheIndex.cachedTokens(engineId, segmentId);
            if (tokens >= MIN_TOKENS && state.segmentIds.add(segmentId)) {
                state.pendingChanges.put(segmentId, tokens);
            }
        });
    }

    private void onCachedSegments(PeerUpdate update) {
        if (watchedEngines.containsKey(update.key())) {
            // What this instance hears from the engine itself is newer.
            return;
        }
        try {
            CacheMessage message = Packing.unpack(
                    update.payload().toByteArray(),
                    unpacker ->
                            new CacheMessage(unpacker.unpackLong(), unpacker.unpackBoolean(), Packing.readNumbers(unpacker)));
            if (message.startedMillis() != startedMillis.applyAsLong(update.key())) {
                // Of a start that is over here, or not known here yet: the whole list comes again in some seconds.
                return;
            }
            if (message.fullList()) {
                cacheIndex.removeEngine(update.key());
            }
            message.tokensBySegment().forEach((segmentId, tokens) -> {
                if (exchange.usesRelays()) {
                    cacheIndex.sharedSegments().markShared(segmentId);
                }
                cacheIndex.setCachedTokens(update.key(), segmentId, Math.toIntExact(tokens));
            });
        } catch (IOException | ArithmeticException e) {
            LogEvent.of("kept_parts_not_understood")
                    .with("peer", update.origin())
                    .with("target", update.key())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private static final class PublishedState {
        private final Set<String> segmentIds = new HashSet<>();
        private final Map<String, Integer> pendingChanges = new LinkedHashMap<>();
        private long nextFullListMillis = Long.MIN_VALUE;
    }

    private record CacheMessage(long startedMillis, boolean fullList, Map<String, Long> tokensBySegment) {}
}
