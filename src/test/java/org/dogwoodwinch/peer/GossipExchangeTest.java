package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class GossipExchangeTest {

    private static final int MEMBERS = 12;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final List<PeerMember> members = new ArrayList<>();
    private final List<GossipExchange> exchanges = new ArrayList<>();
    private final List<PeerRefusal> refusals = new ArrayList<>();
    private final List<Bytes> sent = new ArrayList<>();

    @Test
    void updateReachesEachMemberOnceWithinSeconds() {
        startAll();
        int[] receivedCounts = new int[MEMBERS];
        for (int i = 0; i < MEMBERS; i++) {
            int member = i;
            exchanges.get(i).subscribe(PeerTopic.QUARANTINE, _item -> receivedCounts[member]++);
        }
        exchanges.get(0).publish(PeerTopic.QUARANTINE, "key", Bytes.ofUtf8("payload"), 60_000);
        time.advanceMillis(5_000);
        for (int i = 1; i < MEMBERS; i++) {
            assertEquals(1, receivedCounts[i], "member " + i);
        }
    }

    @Test
    void ageAccumulatesAndOldEntriesExpire() {
        startAll();
        List<PeerUpdate> received = new ArrayList<>();
        exchanges.get(1).subscribe(PeerTopic.LEAVING, received::add);
        exchanges.get(0).publish(PeerTopic.LEAVING, "engine", Bytes.EMPTY, 30_000);
        time.advanceMillis(10_000);
        assertTrue(received.get(0).ageMillis() > 0 && received.get(0).ageMillis() < 10_000);
        int countBefore = exchanges.get(1).entryCount();
        time.advanceMillis(30_000);
        assertEquals(countBefore - 1, exchanges.get(1).entryCount());
    }

    /** Guards against an instance that starts during a log outage and gets no catalogue from the other instances. */
    @Test
    void startingInstanceReceivesCatalogue() {
        startAll();
        exchanges.forEach(each -> each.publish(PeerTopic.CATALOGUE, "catalogue", Bytes.ofUtf8("c"), 3_600_000));
        time.advanceMillis(10_000);
        GossipExchange startingInstance = start(MEMBERS);
        List<PeerUpdate> received = new ArrayList<>();
        startingInstance.subscribe(PeerTopic.CATALOGUE, received::add);
        time.advanceMillis(2_000);
        assertFalse(received.isEmpty());
    }

    @Test
    void isAliveUntilHeartbeatExpires() {
        startAll();
        time.advanceMillis(5_000);
        String incarnationId = exchanges.get(1).incarnationId();
        assertTrue(exchanges.get(0).isAlive(incarnationId));
        exchanges.get(1).stop();
        time.advanceMillis(10_000);
        assertFalse(exchanges.get(0).isAlive(incarnationId));
    }

    /** Each invalid message is refused for its own reason: unauthenticated, corrupt, oversized, replayed, malformed. */
    @Test
    void refusesInvalidMessages() {
        startAll();
        time.advanceMillis(1_000);
        GossipExchange receiver = exchanges.get(0);
        Bytes valid = new PeerCodec("secret", 1_048_576)
                .encode(new PeerMessage(
                        PeerMessage.VERSION, "x", 1, 1, time.wallMillis(), 0, Optional.empty(), false, List.of()));
        assertTrue(receiver.receive(valid));
        refusals.clear();
        assertFalse(receiver.receive(valid));
        byte[] damaged = valid.toByteArray();
        damaged[damaged.length - 1] ^= 1;
        receiver.receive(Bytes.of(damaged));
        receiver.receive(Bytes.ofUtf8("short"));
        receiver.receive(Bytes.of(new byte[2_000_000]));
        receiver.receive(new PeerCodec("other", 1_048_576)
                .encode(new PeerMessage(
                        PeerMessage.VERSION, "x", 1, 2, time.wallMillis(), 0, Optional.empty(), false, List.of())));
        receiver.receive(new PeerCodec("secret", 1_048_576)
                .encode(new PeerMessage(99, "x", 1, 3, time.wallMillis(), 0, Optional.empty(), false, List.of())));
        receiver.receive(new PeerCodec("secret", 1_048_576)
                .encode(new PeerMessage(
                        PeerMessage.VERSION, null, 1, 4, time.wallMillis(), 0, Optional.empty(), false, List.of())));
        assertEquals(
                List.of(
                        PeerRefusal.REPLAYED,
                        PeerRefusal.UNAUTHENTICATED,
                        PeerRefusal.UNAUTHENTICATED,
                        PeerRefusal.TOO_LARGE,
                        PeerRefusal.UNAUTHENTICATED,
                        PeerRefusal.WRONG_VERSION,
                        PeerRefusal.MALFORMED),
                refusals);
    }

    /** Guards against traffic above the budget, and against urgent entries that wait behind load figures. */
    @Test
    void staysWithinBudget() {
        startAll();
        List<PeerUpdate> urgentUpdates = new ArrayList<>();
        exchanges.get(MEMBERS - 1).subscribe(PeerTopic.QUARANTINE, urgentUpdates::add);
        sent.clear();
        for (int second = 0; second < 20; second++) {
            for (int i = 0; i < 50; i++) {
                exchanges.get(0).publish(PeerTopic.LOAD, "engine-" + i, Bytes.of(new byte[500]), 10_000);
            }
            if (second == 5) {
                exchanges.get(0).publish(PeerTopic.QUARANTINE, "key", Bytes.EMPTY, 60_000);
            }
            time.advanceMillis(1_000);
        }
        long sentBytes = sent.stream().mapToLong(Bytes::length).sum();
        long budgetBytes = 20L * MEMBERS * 3_400;
        assertTrue(sentBytes < budgetBytes * 1.2, sentBytes + " bytes");
        assertEquals(1, urgentUpdates.size());
    }

    private void startAll() {
        for (int i = 0; i < MEMBERS; i++) {
            start(i);
        }
        time.advanceMillis(5_000);
    }

    private GossipExchange start(int index) {
        String name = "entry-" + index;
        members.add(new PeerMember(name, "127.0.0.1", index, "kakkanad"));
        GossipExchange exchange = new GossipExchange(
                PeerSettings.defaults(name, "kakkanad", "secret"),
                time,
                RandomSource.XO_RO_SHI_RO_128_PP.create(index),
                (member, message) -> {
                    sent.add(message);
                    time.schedule(1, () -> exchanges.get(member.peerPort()).receive(message));
                },
                () -> members,
                new PeerObserver() {
                    @Override
                    public void onRefused(PeerRefusal refusal) {
                        refusals.add(refusal);
                    }
                });
        exchanges.add(exchange);
        exchange.start();
        return exchange;
    }
}
