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

    private static final int MEMBERS_COUNT = 22;
    private static final int ENGINES_COUNT = 98;
    private static final int SHARED_COUNT = 1_000;
    private static final int SHARED_TOKENS = 13_000;
    private static final int OWN_TOKENS = 3_700;
    private static final int OWN_KEPT_COUNT = 40;
    private static final long CALL_GAP_MILLIS = 4;
    private static final long WARM_MILLIS = 10_000;
    private static final long MEASURED_MILLIS = 10_000;

    /** The narrowest link of an instance, 7 Mbit/s, and the part of it that telling may take. */
    private static final long LINK_BYTES_PER_SECOND = 875_000;

    private static final int MOST_PART_OF_LINK = 5;

    private final RelayFleet fleet = new RelayFleet(MEMBERS_COUNT, 1, 3);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(4);
    private final List<KvCacheIndex> indexes = new ArrayList<>();
    private final List<KeptSharing> sharings = new ArrayList<>();
    private final Map<String, Deque<String>> ownKept = new HashMap<>();
    private final Set<Integer> sharedKept = new HashSet<>();
    private int callsCount;

    KeptSharingTest() {
        for (RelayFleet.Member member : fleet.members) {
            KvCacheIndex index = new KvCacheIndex();
            indexes.add(index);
            sharings.add(new KeptSharing(member.exchange, index, _id -> 0, fleet.time));
        }
        fleet.time.advanceMillis(2_000);
    }

    /**
     * Callers at one instance of a data centre wait a second for each connection, some leave before their call is sent on:
     * its link is full. It passes on what 98 engines keep to 21 others, and two of three parts that engines read are the
     * request's own, which nobody asks for again.
     */
    @Test
    void tellingWhatEnginesKeepLeavesTheRelaysLinkToItsCalls() {
        play(WARM_MILLIS);
        RelayFleet.Member relay = fleet.relay("dc0");
        long beforeBytes = relay.sentBytes;

        play(MEASURED_MILLIS);

        long perSecond = (relay.sentBytes - beforeBytes) * 1_000 / MEASURED_MILLIS;
        long most = LINK_BYTES_PER_SECOND / MOST_PART_OF_LINK;
        assertTrue(perSecond <= most, perSecond + " bytes a second, a fifth of the link is " + most);
    }

    /** What is kept for others to use is known everywhere: a call at any instance follows it. */
    @Test
    void sharedPartsAreKnownAtAllInstances() {
        play(WARM_MILLIS);

        fleet.time.advanceMillis(1_000);

        for (int shared = 0; shared < SHARED_COUNT; shared++) {
            String engine = home(shared);
            Prompt prompt = prompt(shared, "none");
            long knowingCount = indexes.stream()
                    .filter(index -> index.cachedPrefixTokens(engine, prompt) >= SHARED_TOKENS)
                    .count();
            long wanted = knowingCount == 0 ? 0 : MEMBERS_COUNT;
            assertEquals(wanted, knowingCount, "instances that know where part " + shared + " is kept");
        }
    }

    /** All instances have lost power, and an engine tells one of them all that it keeps before any call names a part. */
    @Test
    void afterAStartOfAllASmallFleetKnowsWhatEnginesKeep() {
        RelayFleet small = new RelayFleet(6, 3, 3);
        List<KvCacheIndex> started = new ArrayList<>();
        List<KeptSharing> telling = new ArrayList<>();
        for (RelayFleet.Member member : small.members) {
            KvCacheIndex index = new KvCacheIndex();
            started.add(index);
            telling.add(new KeptSharing(member.exchange, index, _id -> 0, small.time));
        }
        small.time.advanceMillis(1_000);

        started.get(0).setCachedTokens("engine1", "shared1", SHARED_TOKENS);
        telling.get(0).listed("engine1");
        telling.get(0).changed("engine1", "shared2", SHARED_TOKENS);
        small.time.advanceMillis(1_000);

        List<Integer> known = started.stream()
                .map(index -> index.cachedTokens("engine1", "shared1"))
                .filter(tokens -> tokens >= SHARED_TOKENS)
                .toList();
        assertEquals(inOneCentre(small), known.size());
    }

    /** Each data centre has a watcher of its own. */
    private static long inOneCentre(RelayFleet small) {
        String centre = small.members.get(0).dataCentre;
        return small.members.stream()
                .filter(member -> member.dataCentre.equals(centre))
                .count();
    }

    /** Calls come at any instance, each with one shared part of many and one of its own, to the shared part's home. */
    private void play(long forMillis) {
        for (long played = 0; played < forMillis; played += CALL_GAP_MILLIS) {
            int shared = random.nextInt(SHARED_COUNT);
            String own = "own" + callsCount++;
            String engine = home(shared);
            sent(random.nextInt(MEMBERS_COUNT), engine, prompt(shared, own));
            Deque<String> kept = ownKept.computeIfAbsent(engine, _id -> new ArrayDeque<>());
            kept.addLast(own);
            if (sharedKept.add(shared)) {
                changed(engine, "shared" + shared, SHARED_TOKENS);
            }
            changed(engine, own, OWN_TOKENS);
            if (kept.size() > OWN_KEPT_COUNT) {
                changed(engine, kept.removeFirst(), 0);
            }
            fleet.time.advanceMillis(CALL_GAP_MILLIS);
        }
    }

    private void sent(int member, String engine, Prompt prompt) {
        indexes.get(member).sharedSegments().recordPrompt(prompt);
        indexes.get(member).recordPrefill(engine, prompt);
    }

    /** The engine tells a change to the instance that watches it. */
    private void changed(String engine, String part, int tokens) {
        for (int i = 0; i < MEMBERS_COUNT; i++) {
            if (fleet.members.get(i).exchange.isAssignedToSelf(engine)) {
                indexes.get(i).setCachedTokens(engine, part, tokens);
                sharings.get(i).changed(engine, part, tokens);
            }
        }
    }

    private static String home(int shared) {
        return "engine" + shared % ENGINES_COUNT;
    }

    private static Prompt prompt(int shared, String own) {
        return new Prompt(
                "m",
                SHARED_TOKENS + OWN_TOKENS,
                10,
                List.of(new PromptSegment("shared" + shared, SHARED_TOKENS), new PromptSegment(own, OWN_TOKENS)));
    }
}
