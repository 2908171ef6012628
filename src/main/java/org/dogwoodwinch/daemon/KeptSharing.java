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
 * Publishes which prompt segments an engine has in its KV cache. The instance that watches the engine sends this to the
 * other instances of its data centre.
 *
 * <p>Load: two of three segments that engines prefill belong to a single request, and one instance, whose link is as
 * narrow as the others', would send each of them to every instance of the data centre. In a fleet that uses relays,
 * only segments that other requests may contain again are therefore published. Engines do not report which ones these
 * are; instances know it from the prompts of their calls, and publish each shared segment to each other once.
 *
 * <p>Changes are published once per round. Updates may be lost, and a new watcher may have missed changes, so the full
 * list is published periodically: a wrong entry costs some prefill time and lasts no longer than until the next list.
 */
final class KeptSharing implements CacheListener {

    private static final Logger log = LoggerFactory.getLogger(KeptSharing.class);

    /**
     * Shorter segments are prefilled within some milliseconds and not worth an update: most calls have some of their
     * own.
     */
    private static final int MIN_TOKENS = 512;

    /**
     * The time between two full lists of an engine. The lists of many engines share the link of the instance that
     * forwards them; a newly started instance waits at most this long until it knows where segments are cached.
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

    KeptSharing(
            RelayExchange exchange, KvCacheIndex cacheIndex, ToLongFunction<String> startedMillis, TimeSource time) {
        this.startedMillis = Objects.requireNonNull(startedMillis, "startedMillis");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.cacheIndex = Objects.requireNonNull(cacheIndex, "cacheIndex");
        this.time = Objects.requireNonNull(time, "time");
        exchange.subscribe(PeerTopic.KEPT_PARTS, this::onCachedSegments);
        exchange.subscribe(PeerTopic.SHARED_PARTS, this::onSharedSegments);
        exchange.beforeEachRound(this::publishRound);
    }

    @Override
    public void onSegmentChange(String engineId, String partId, int keptTokens) {
        PublishedState state = watchedEngines.computeIfAbsent(engineId, _id -> new PublishedState());
        if (keptTokens >= MIN_TOKENS && isWorthPublishing(partId)) {
            state.segmentIds.add(partId);
            state.pendingChanges.put(partId, keptTokens);
        } else if (state.segmentIds.remove(partId)) {
            state.pendingChanges.put(partId, keptTokens);
        }
    }

    @Override
    public void onReset(String engineId) {
        watchedEngines.computeIfAbsent(engineId, _id -> new PublishedState()).nextFullListMillis = Long.MIN_VALUE;
    }

    @Override
    public void onPollingStopped(String engineId) {
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
     * Returns whether a segment is published: in a small fleet every one, otherwise a shared one. Failure: instances
     * that have all just started know of no shared segment until their calls contain it, and would send each of these
     * calls to an engine that has not cached it.
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
     * Publishes in one message the shared segments that this instance found and, at a relay, those that it received
     * since the last round.
     *
     * <p>Load: many instances find the same segments at the same time. Forwarding each of their messages to each other
     * instance made up a quarter of what a relay sent.
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

    /** A watched engine may have reported the segment as cached before the segment was known to be shared. */
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
            // The reports that this instance receives from the engine itself are newer.
            return;
        }
        try {
            CacheMessage message = Packing.unpack(
                    update.payload().toByteArray(),
                    unpacker -> new CacheMessage(
                            unpacker.unpackLong(), unpacker.unpackBoolean(), Packing.readNumbers(unpacker)));
            if (message.startedMillis() != startedMillis.applyAsLong(update.key())) {
                // From an earlier incarnation, or one not yet listed here: the full list is sent again within seconds.
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
