package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.PromptSegment;
import org.dogwoodwinch.peer.PeerTopic;
import org.junit.jupiter.api.Test;

class RelayBandwidthTest {

    private static final int DATA_CENTRE_SIZE = 22;
    private static final int OTHER_DATA_CENTRE_COUNT = 2;
    private static final int FLEET_SIZE = 58;
    private static final int ENGINE_COUNT = 98;
    private static final int ROUND_MILLIS = 150;

    /** The bandwidth of an instance's slowest link, 7 Mbit/s; peer messages may use a fraction of it. */
    private static final long LINK_BYTES_PER_SECOND = 875_000;

    private static final int MAX_LINK_DIVISOR = 4;

    private static final long CALL_INTERVAL_MILLIS = 3;
    private static final long PREFILL_MILLIS = 700;
    private static final long CALL_DURATION_MILLIS = 2_000;
    private static final int WARM_UP_SECONDS = 3;
    private static final int MEASUREMENT_SECONDS = 7;
    private static final int SHARED_SEGMENT_COUNT = 1_000;
    private static final int SHARED_SEGMENT_TOKENS = 13_000;
    private static final int CALLS_PER_DOCUMENT = 4;
    private static final int DOCUMENT_TOKENS = 3_700;
    private static final int UNIQUE_SEGMENT_TOKENS = 400;
    private static final int MAX_CACHED_DOCUMENTS = 6;
    private static final long RECORD_INTERVAL_MILLIS = 300;
    private static final long MAX_RECORD_DELAY_MILLIS = 100;

    private final SimulatedFleet fleet = new SimulatedFleet(dataCentres(), 3);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(4);
    private final List<KvCacheIndex> indexes = new ArrayList<>();
    private final List<KeptSharing> sharings = new ArrayList<>();
    private final List<LoadTracker> loadTrackers = new ArrayList<>();
    private final Map<String, Deque<String>> cachedDocuments = new HashMap<>();
    private final Set<String> cachedSharedSegments = new HashSet<>();
    private int callCount;
    private int sharedSegmentNumber;
    private int recordCount;

    RelayBandwidthTest() {
        for (SimulatedFleet.Member member : fleet.members) {
            KvCacheIndex index = new KvCacheIndex();
            LoadTracker tracker = new LoadTracker();
            indexes.add(index);
            loadTrackers.add(tracker);
            sharings.add(new KeptSharing(member.exchange, index, _id -> 0, fleet.time));
            new LoadSharing(tracker, member.exchange, fleet.time, member.name, member.dataCentre, ROUND_MILLIS).start();
        }
        fleet.time.advanceMillis(2_000);
    }

    /**
     * Failure: on a relay's saturated link, closing a connection waits behind peer messages, and targets keep working
     * for callers that have disconnected.
     */
    @Test
    void relayTrafficLeavesLinkCapacityToCalls() {
        simulateSeconds(WARM_UP_SECONDS);
        SimulatedFleet.Member relay = fleet.relay("dc0");
        Map<PeerTopic, Long> bytesByTopicBefore = new EnumMap<>(relay.sentBytesByTopic);
        List<Long> bytesBySecond = new ArrayList<>();

        for (int second = 0; second < MEASUREMENT_SECONDS; second++) {
            long bytesBefore = relay.sentBytes;
            simulateSeconds(1);
            bytesBySecond.add(relay.sentBytes - bytesBefore);
        }

        long maxBytes = LINK_BYTES_PER_SECOND / MAX_LINK_DIVISOR;
        Map<PeerTopic, Long> bytesByTopic = new EnumMap<>(relay.sentBytesByTopic);
        bytesByTopicBefore.forEach((topic, bytes) -> bytesByTopic.merge(topic, -bytes, Long::sum));
        bytesByTopic.replaceAll((_topic, bytes) -> bytes / MEASUREMENT_SECONDS);
        assertTrue(
                Collections.max(bytesBySecond) <= maxBytes,
                "bytes in each second " + bytesBySecond + ", at most " + maxBytes
                        + " (a quarter of the link) allowed; per second by topic "
                        + bytesByTopic);
    }

    /**
     * Updates that yield to calls must not include those about draining targets: a call sent to one afterwards is lost.
     */
    @Test
    void busyRelayForwardsStoreRecordsWithoutDelay() {
        simulateSeconds(WARM_UP_SECONDS + MEASUREMENT_SECONDS);
        fleet.time.advanceMillis(MAX_RECORD_DELAY_MILLIS);

        for (SimulatedFleet.Member member : fleet.members) {
            for (long offset = 0; offset < recordCount; offset++) {
                long appliedMillis = member.appliedAtMillis.getOrDefault(offset, Long.MAX_VALUE);
                assertTrue(
                        appliedMillis <= fleet.writtenAtMillis(offset) + MAX_RECORD_DELAY_MILLIS,
                        member.name + " applied record " + offset + " at " + appliedMillis + " ms, written at "
                                + fleet.writtenAtMillis(offset));
            }
        }
    }

    private static List<String> dataCentres() {
        List<String> dataCentres = new ArrayList<>(Collections.nCopies(DATA_CENTRE_SIZE, "dc0"));
        for (int other = 1; other <= OTHER_DATA_CENTRE_COUNT; other++) {
            // The relay of dc0 receives messages from the relay of each other data centre only: one instance suffices.
            dataCentres.add("dc" + other);
        }
        return dataCentres;
    }

    private void simulateSeconds(int seconds) {
        for (long elapsedMillis = 0; elapsedMillis < seconds * 1_000L; elapsedMillis += CALL_INTERVAL_MILLIS) {
            simulateCall();
            if (elapsedMillis % RECORD_INTERVAL_MILLIS == 0) {
                fleet.writeRecord();
                recordCount++;
            }
            fleet.time.advanceMillis(CALL_INTERVAL_MILLIS);
        }
    }

    /**
     * Simulates a call at a random instance. Its prompt has a segment that many calls share, a document that a few
     * calls share, and a unique segment.
     */
    private void simulateCall() {
        if (callCount % CALLS_PER_DOCUMENT == 0) {
            sharedSegmentNumber = random.nextInt(SHARED_SEGMENT_COUNT);
        }
        String sharedSegmentId = segmentId("c", sharedSegmentNumber);
        String documentId = segmentId("d", callCount / CALLS_PER_DOCUMENT);
        String engineId = engineId(sharedSegmentNumber % ENGINE_COUNT);
        Prompt prompt = new Prompt(
                "m",
                SHARED_SEGMENT_TOKENS + DOCUMENT_TOKENS + UNIQUE_SEGMENT_TOKENS,
                10,
                List.of(
                        new PromptSegment(sharedSegmentId, SHARED_SEGMENT_TOKENS),
                        new PromptSegment(documentId, DOCUMENT_TOKENS),
                        new PromptSegment(segmentId("e", callCount), UNIQUE_SEGMENT_TOKENS)));
        callCount++;
        int memberIndex = randomCallerIndex();
        indexes.get(memberIndex).sharedSegments().recordPrompt(prompt);
        indexes.get(memberIndex).recordPrefill(engineId, prompt);
        LoadTracker tracker = loadTrackers.get(memberIndex);
        tracker.recordSend(engineId, 0, prompt.inputTokens());
        fleet.time.schedule(PREFILL_MILLIS, () -> tracker.recordPrefill(engineId, 0, prompt.inputTokens()));
        fleet.time.schedule(CALL_DURATION_MILLIS, () -> tracker.recordEnd(engineId));
        if (cachedSharedSegments.add(sharedSegmentId)) {
            reportCacheChange(engineId, sharedSegmentId, SHARED_SEGMENT_TOKENS);
        }
        cacheDocument(engineId, documentId);
    }

    private void cacheDocument(String engineId, String documentId) {
        Deque<String> cached = cachedDocuments.computeIfAbsent(engineId, _id -> new ArrayDeque<>());
        if (cached.contains(documentId)) {
            return;
        }
        cached.addLast(documentId);
        reportCacheChange(engineId, documentId, DOCUMENT_TOKENS);
        if (cached.size() > MAX_CACHED_DOCUMENTS) {
            reportCacheChange(engineId, cached.removeFirst(), 0);
        }
    }

    /**
     * Returns the index of a random instance. One instance of each other data centre represents all of its instances.
     */
    private int randomCallerIndex() {
        int index = random.nextInt(FLEET_SIZE);
        return index < DATA_CENTRE_SIZE ? index : DATA_CENTRE_SIZE + index % OTHER_DATA_CENTRE_COUNT;
    }

    /** Reports a cache change to the instance of each data centre that watches the engine. */
    private void reportCacheChange(String engineId, String segmentId, int tokens) {
        for (int i = 0; i < fleet.members.size(); i++) {
            if (fleet.members.get(i).exchange.isAssignedToSelf(engineId)) {
                indexes.get(i).setCachedTokens(engineId, segmentId, tokens);
                sharings.get(i).onSegmentChange(engineId, segmentId, tokens);
            }
        }
    }

    private static String segmentId(String kind, int number) {
        return kind + String.format(Locale.ROOT, "%015x", number);
    }

    private static String engineId(int number) {
        return "i-" + String.format(Locale.ROOT, "%010x", number);
    }
}
