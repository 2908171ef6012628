package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.PromptSegment;
import org.junit.jupiter.api.Test;

class KeptSharingTest {

    private static final int INSTANCE_COUNT = 22;
    private static final int ENGINE_COUNT = 98;
    private static final int SHARED_SEGMENT_COUNT = 1_000;
    private static final int SHARED_SEGMENT_TOKENS = 13_000;
    private static final int UNIQUE_SEGMENT_TOKENS = 3_700;
    private static final int MAX_CACHED_UNIQUE_SEGMENTS = 40;
    private static final long CALL_INTERVAL_MILLIS = 4;
    private static final long WARM_UP_MILLIS = 10_000;
    private static final long MEASUREMENT_MILLIS = 10_000;

    /** The bandwidth of an instance's slowest link, 7 Mbit/s; peer messages may use a fraction of it. */
    private static final long LINK_BYTES_PER_SECOND = 875_000;

    private static final int MAX_LINK_DIVISOR = 5;

    private final SimulatedFleet fleet = new SimulatedFleet(INSTANCE_COUNT, 1, 3);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(4);
    private final List<KvCacheIndex> indexes = new ArrayList<>();
    private final List<KeptSharing> sharings = new ArrayList<>();
    private final Map<String, Deque<String>> cachedUniqueSegments = new HashMap<>();
    private final Set<Integer> cachedSharedSegments = new HashSet<>();
    private int callCount;

    KeptSharingTest() {
        for (SimulatedFleet.Member member : fleet.members) {
            KvCacheIndex index = new KvCacheIndex();
            indexes.add(index);
            sharings.add(new KeptSharing(member.exchange, index, _id -> 0, fleet.time));
        }
        fleet.time.advanceMillis(2_000);
    }

    /**
     * Load: a relay forwards the cache contents of 98 engines to 21 other instances, and two of three prefilled
     * segments are unique to their request. Failure: its link is saturated, callers wait a second for each connection,
     * and some disconnect before their call is forwarded.
     */
    @Test
    void cacheUpdatesLeaveRelayLinkCapacityToCalls() {
        simulate(WARM_UP_MILLIS);
        SimulatedFleet.Member relay = fleet.relay("dc0");
        long bytesBefore = relay.sentBytes;

        simulate(MEASUREMENT_MILLIS);

        long bytesPerSecond = (relay.sentBytes - bytesBefore) * 1_000 / MEASUREMENT_MILLIS;
        long maxBytesPerSecond = LINK_BYTES_PER_SECOND / MAX_LINK_DIVISOR;
        assertTrue(
                bytesPerSecond <= maxBytesPerSecond,
                bytesPerSecond + " bytes per second, at most " + maxBytesPerSecond + " (a fifth of the link) allowed");
    }

    /** A call at any instance must be able to follow a shared segment to the engine that has it cached. */
    @Test
    void sharedSegmentsAreKnownToAllInstances() {
        simulate(WARM_UP_MILLIS);

        fleet.time.advanceMillis(1_000);

        for (int sharedSegmentNumber = 0; sharedSegmentNumber < SHARED_SEGMENT_COUNT; sharedSegmentNumber++) {
            String engineId = assignedEngineId(sharedSegmentNumber);
            Prompt prompt = prompt(sharedSegmentNumber, "none");
            long informedCount = indexes.stream()
                    .filter(index -> index.cachedPrefixTokens(engineId, prompt) >= SHARED_SEGMENT_TOKENS)
                    .count();
            long expectedCount = informedCount == 0 ? 0 : INSTANCE_COUNT;
            assertEquals(
                    expectedCount,
                    informedCount,
                    "instances that know where segment " + sharedSegmentNumber + " is cached");
        }
    }

    /**
     * After all instances lose power, an engine reports its cache to one of them before any call has named a segment.
     */
    @Test
    void smallFleetLearnsCacheContentsAfterFullRestart() {
        SimulatedFleet smallFleet = new SimulatedFleet(6, 3, 3);
        List<KvCacheIndex> restartedIndexes = new ArrayList<>();
        List<KeptSharing> restartedSharings = new ArrayList<>();
        for (SimulatedFleet.Member member : smallFleet.members) {
            KvCacheIndex index = new KvCacheIndex();
            restartedIndexes.add(index);
            restartedSharings.add(new KeptSharing(member.exchange, index, _id -> 0, smallFleet.time));
        }
        smallFleet.time.advanceMillis(1_000);

        restartedIndexes.get(0).setCachedTokens("engine1", "shared1", SHARED_SEGMENT_TOKENS);
        restartedSharings.get(0).onReset("engine1");
        restartedSharings.get(0).onSegmentChange("engine1", "shared2", SHARED_SEGMENT_TOKENS);
        smallFleet.time.advanceMillis(1_000);

        List<Integer> knownTokens = restartedIndexes.stream()
                .map(index -> index.cachedTokens("engine1", "shared1"))
                .filter(tokens -> tokens >= SHARED_SEGMENT_TOKENS)
                .toList();
        assertEquals(countInFirstDataCentre(smallFleet), knownTokens.size());
    }

    /** Returns how many instances share the first one's data centre; each data centre watches the engine separately. */
    private static long countInFirstDataCentre(SimulatedFleet smallFleet) {
        String dataCentre = smallFleet.members.get(0).dataCentre;
        return smallFleet.members.stream()
                .filter(member -> member.dataCentre.equals(dataCentre))
                .count();
    }

    /**
     * Sends calls through random instances to the engine of their shared segment; each prompt has one shared and one
     * unique segment.
     */
    private void simulate(long durationMillis) {
        for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += CALL_INTERVAL_MILLIS) {
            int sharedSegmentNumber = random.nextInt(SHARED_SEGMENT_COUNT);
            String uniqueSegmentId = "own" + callCount++;
            String engineId = assignedEngineId(sharedSegmentNumber);
            recordSentPrompt(random.nextInt(INSTANCE_COUNT), engineId, prompt(sharedSegmentNumber, uniqueSegmentId));
            Deque<String> cached = cachedUniqueSegments.computeIfAbsent(engineId, _id -> new ArrayDeque<>());
            cached.addLast(uniqueSegmentId);
            if (cachedSharedSegments.add(sharedSegmentNumber)) {
                reportCacheChange(engineId, "shared" + sharedSegmentNumber, SHARED_SEGMENT_TOKENS);
            }
            reportCacheChange(engineId, uniqueSegmentId, UNIQUE_SEGMENT_TOKENS);
            if (cached.size() > MAX_CACHED_UNIQUE_SEGMENTS) {
                reportCacheChange(engineId, cached.removeFirst(), 0);
            }
            fleet.time.advanceMillis(CALL_INTERVAL_MILLIS);
        }
    }

    private void recordSentPrompt(int memberIndex, String engineId, Prompt prompt) {
        indexes.get(memberIndex).sharedSegments().recordPrompt(prompt);
        indexes.get(memberIndex).recordPrefill(engineId, prompt);
    }

    /** Reports a cache change to the instance that watches the engine. */
    private void reportCacheChange(String engineId, String segmentId, int tokens) {
        for (int i = 0; i < INSTANCE_COUNT; i++) {
            if (fleet.members.get(i).exchange.isAssignedToSelf(engineId)) {
                indexes.get(i).setCachedTokens(engineId, segmentId, tokens);
                sharings.get(i).onSegmentChange(engineId, segmentId, tokens);
            }
        }
    }

    private static String assignedEngineId(int sharedSegmentNumber) {
        return "engine" + sharedSegmentNumber % ENGINE_COUNT;
    }

    private static Prompt prompt(int sharedSegmentNumber, String uniqueSegmentId) {
        return new Prompt(
                "m",
                SHARED_SEGMENT_TOKENS + UNIQUE_SEGMENT_TOKENS,
                10,
                List.of(
                        new PromptSegment("shared" + sharedSegmentNumber, SHARED_SEGMENT_TOKENS),
                        new PromptSegment(uniqueSegmentId, UNIQUE_SEGMENT_TOKENS)));
    }
}
