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

class FullLinkTest {

    private static final int CENTRE_COUNT = 22;
    private static final int OTHER_CENTRES_COUNT = 2;
    private static final int FLEET_COUNT = 58;
    private static final int ENGINES_COUNT = 98;
    private static final int ROUND_MILLIS = 150;

    /** The narrowest link of an instance, 7 Mbit/s, and the part of it that messages between instances may take. */
    private static final long LINK_BYTES_PER_SECOND = 875_000;

    private static final int MOST_PART_OF_LINK = 4;

    private static final long CALL_GAP_MILLIS = 3;
    private static final long READ_MILLIS = 700;
    private static final long CALL_MILLIS = 2_000;
    private static final int WARM_SECONDS = 3;
    private static final int MEASURED_SECONDS = 7;
    private static final int COMMON_COUNT = 1_000;
    private static final int COMMON_TOKENS = 13_000;
    private static final int CALLS_PER_DOCUMENT = 4;
    private static final int DOCUMENT_TOKENS = 3_700;
    private static final int OWN_TOKENS = 400;
    private static final int DOCUMENTS_KEPT_COUNT = 6;
    private static final long RECORD_GAP_MILLIS = 300;
    private static final long RECORD_KNOWN_MILLIS = 100;

    private final RelayFleet fleet = new RelayFleet(centres(), 3);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(4);
    private final List<KvCacheIndex> indexes = new ArrayList<>();
    private final List<KeptSharing> sharings = new ArrayList<>();
    private final List<LoadTracker> loads = new ArrayList<>();
    private final Map<String, Deque<String>> documentsKept = new HashMap<>();
    private final Set<String> keptOnce = new HashSet<>();
    private int callsCount;
    private int commonNumber;
    private int recordsCount;

    FullLinkTest() {
        for (RelayFleet.Member member : fleet.members) {
            KvCacheIndex index = new KvCacheIndex();
            LoadTracker book = new LoadTracker();
            indexes.add(index);
            loads.add(book);
            sharings.add(new KeptSharing(member.exchange, index, _id -> 0, fleet.time));
            new LoadSharing(book, member.exchange, fleet.time, member.name, member.dataCentre, ROUND_MILLIS).start();
        }
        fleet.time.advanceMillis(2_000);
    }

    /** Work goes on for callers that have left: at a relay their closes wait, on a full link, behind what it tells. */
    @Test
    void aRelaysMessagesLeaveItsLinkToCalls() {
        playSeconds(WARM_SECONDS);
        RelayFleet.Member relay = fleet.relay("dc0");
        Map<PeerTopic, Long> before = new EnumMap<>(relay.toldBytes);
        List<Long> sentBytes = new ArrayList<>();

        for (int second = 0; second < MEASURED_SECONDS; second++) {
            long beforeBytes = relay.sentBytes;
            playSeconds(1);
            sentBytes.add(relay.sentBytes - beforeBytes);
        }

        long most = LINK_BYTES_PER_SECOND / MOST_PART_OF_LINK;
        Map<PeerTopic, Long> told = new EnumMap<>(relay.toldBytes);
        before.forEach((topic, bytes) -> told.merge(topic, -bytes, Long::sum));
        told.replaceAll((_topic, bytes) -> bytes / MEASURED_SECONDS);
        assertTrue(
                Collections.max(sentBytes) <= most,
                "bytes in each second " + sentBytes + ", a quarter of the link is " + most + "; by topic " + told);
    }

    /** What yields to calls is never word of a target that leaves: a call sent there after it is lost. */
    @Test
    void aRelayWithMuchToTellTellsRecordsOfTheStoreAtOnce() {
        playSeconds(WARM_SECONDS + MEASURED_SECONDS);
        fleet.time.advanceMillis(RECORD_KNOWN_MILLIS);

        for (RelayFleet.Member member : fleet.members) {
            for (long offset = 0; offset < recordsCount; offset++) {
                long applied = member.appliedAtMillis.getOrDefault(offset, Long.MAX_VALUE);
                assertTrue(
                        applied <= fleet.writtenAtMillis(offset) + RECORD_KNOWN_MILLIS,
                        member.name + " learnt of record " + offset + " at " + applied + ", it was written at "
                                + fleet.writtenAtMillis(offset));
            }
        }
    }

    private static List<String> centres() {
        List<String> centres = new ArrayList<>(Collections.nCopies(CENTRE_COUNT, "dc0"));
        for (int other = 1; other <= OTHER_CENTRES_COUNT; other++) {
            // Of another data centre, this one's relay hears its relay alone.
            centres.add("dc" + other);
        }
        return centres;
    }

    private void playSeconds(int seconds) {
        for (long played = 0; played < seconds * 1_000L; played += CALL_GAP_MILLIS) {
            call();
            if (played % RECORD_GAP_MILLIS == 0) {
                fleet.write();
                recordsCount++;
            }
            fleet.time.advanceMillis(CALL_GAP_MILLIS);
        }
    }

    /** A call at any instance: a part that many calls name, a document that a few do, and its own. */
    private void call() {
        if (callsCount % CALLS_PER_DOCUMENT == 0) {
            commonNumber = random.nextInt(COMMON_COUNT);
        }
        String common = part("c", commonNumber);
        String document = part("d", callsCount / CALLS_PER_DOCUMENT);
        String engine = engine(commonNumber % ENGINES_COUNT);
        Prompt prompt = new Prompt(
                "m",
                COMMON_TOKENS + DOCUMENT_TOKENS + OWN_TOKENS,
                10,
                List.of(
                        new PromptSegment(common, COMMON_TOKENS),
                        new PromptSegment(document, DOCUMENT_TOKENS),
                        new PromptSegment(part("e", callsCount), OWN_TOKENS)));
        callsCount++;
        int member = caller();
        indexes.get(member).sharedSegments().recordPrompt(prompt);
        indexes.get(member).recordPrefill(engine, prompt);
        LoadTracker book = loads.get(member);
        book.recordSend(engine, 0, prompt.inputTokens());
        fleet.time.schedule(READ_MILLIS, () -> book.recordPrefill(engine, 0, prompt.inputTokens()));
        fleet.time.schedule(CALL_MILLIS, () -> book.recordEnd(engine));
        if (keptOnce.add(common)) {
            changed(engine, common, COMMON_TOKENS);
        }
        keep(engine, document);
    }

    private void keep(String engine, String document) {
        Deque<String> kept = documentsKept.computeIfAbsent(engine, _id -> new ArrayDeque<>());
        if (kept.contains(document)) {
            return;
        }
        kept.addLast(document);
        changed(engine, document, DOCUMENT_TOKENS);
        if (kept.size() > DOCUMENTS_KEPT_COUNT) {
            changed(engine, kept.removeFirst(), 0);
        }
    }

    /** One instance of another data centre stands for all of it. */
    private int caller() {
        int at = random.nextInt(FLEET_COUNT);
        return at < CENTRE_COUNT ? at : CENTRE_COUNT + at % OTHER_CENTRES_COUNT;
    }

    /** The engine tells a change to the instance of each data centre that watches it. */
    private void changed(String engine, String part, int tokens) {
        for (int i = 0; i < fleet.members.size(); i++) {
            if (fleet.members.get(i).exchange.isAssignedToSelf(engine)) {
                indexes.get(i).setCachedTokens(engine, part, tokens);
                sharings.get(i).changed(engine, part, tokens);
            }
        }
    }

    private static String part(String kind, int number) {
        return kind + String.format(Locale.ROOT, "%015x", number);
    }

    private static String engine(int number) {
        return "i-" + String.format(Locale.ROOT, "%010x", number);
    }
}
