package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class PeerOutboxStarvationTest {

    /** A fifth of a link of 7 Mbit/s. */
    private static final int BYTES_PER_SECOND = 175_000;

    private static final int RECIPIENTS = 22;
    private static final int LOADS_BYTES = 2_300;
    private static final int CACHE_HINT_BYTES = 200;
    private static final int ROUNDS = 40;

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private long version;

    private PeerEntry entry(PeerTopic topic, int bytes) {
        return new PeerEntry("a", 1, topic.name(), "k", version++, 0, 1_500, Bytes.of(new byte[bytes]));
    }

    /** Guards against load figures that are never sent because small cache hints use up the budget. */
    @Test
    void cacheHintsDoNotStarveLoads() {
        PeerOutbox outbox = new PeerOutbox(time, BYTES_PER_SECOND, _topic -> {});
        List<String> sent = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < 10; i++) {
                outbox.add(PeerOutbox.Audience.OWN_DATA_CENTRE, entry(PeerTopic.KEPT_PARTS, CACHE_HINT_BYTES));
            }
            outbox.add(PeerOutbox.Audience.OWN_DATA_CENTRE, entry(PeerTopic.FLEET_LOAD, LOADS_BYTES));
            List<PeerEntry> taken = outbox.take(PeerOutbox.Audience.OWN_DATA_CENTRE, RECIPIENTS);
            taken.forEach(entry -> sent.add(entry.topic()));
            outbox.onSent(taken.stream().mapToLong(PeerCodec::sizeOf).sum() * RECIPIENTS);
            time.advanceMillis(150);
        }

        long loads = sent.stream().filter(PeerTopic.FLEET_LOAD.name()::equals).count();
        assertTrue(loads >= ROUNDS / 8, loads + " load entries and " + (sent.size() - loads) + " cache hints in 6 s");
    }

    /** Guards against state transfers that are never sent because cache hints use up the budget. */
    @Test
    void cacheHintsDoNotStarveStateTransfers() {
        PeerOutbox outbox = new PeerOutbox(time, BYTES_PER_SECOND, _topic -> {});
        boolean transferSent = false;
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < 10; i++) {
                outbox.add(PeerOutbox.Audience.OWN_DATA_CENTRE, entry(PeerTopic.KEPT_PARTS, CACHE_HINT_BYTES));
            }
            List<PeerEntry> taken = outbox.take(PeerOutbox.Audience.OWN_DATA_CENTRE, RECIPIENTS);
            outbox.onSent(taken.stream().mapToLong(PeerCodec::sizeOf).sum() * RECIPIENTS);
            transferSent |= outbox.hasBudgetFor(40_000);
            time.advanceMillis(150);
        }

        assertTrue(transferSent);
    }
}
