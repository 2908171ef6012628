package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerTopic;
import org.junit.jupiter.api.Test;

/** Delays the messages of one instance as a saturated link does: all of them arrive, in order. */
class SlowLinkTest {

    /** Nine tenths of the shortest time within which all instances must stop using a draining target. */
    private static final long MAX_DELAY_MILLIS = 1_800;

    private static final long ROUND_MILLIS = 150;
    private static final long QUEUE_DELAY_MILLIS = 1_500;

    /** Longer than the time after which a relay counts as missing, and short enough that its heartbeats still count. */
    private static final long HEARTBEAT_DELAY_MILLIS = 1_440;

    /** The delayed relay, its successor, and an instance that has not yet received the successor's heartbeat. */
    private static final int MAX_ACTIVE_RELAYS = 3;

    /**
     * Failure: each delayed update reinstated the silent relay in place of its successor, and every instance became a
     * relay.
     */
    @Test
    void delayedHeartbeatsDoNotMakeEveryInstanceARelay() {
        SimulatedFleet fleet = new SimulatedFleet(40, 2, 11);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member slowRelay = fleet.relay("dc0");
        slowRelay.queueDelayMillisAt = _nowMillis -> HEARTBEAT_DELAY_MILLIS;
        fleet.time.advanceMillis(5_000);
        // The rounds of the instances are not synchronized.
        fleet.members.stream()
                .filter(member -> member.dataCentre.equals("dc0") && member != slowRelay && member.exchange.isRelay())
                .forEach(successor -> successor.queueDelayMillisAt = _nowMillis -> ROUND_MILLIS);
        fleet.time.advanceMillis(5_000);

        long messagesBefore = fleet.messageCount;
        List<Long> activeRelayCounts = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            fleet.time.advanceMillis(ROUND_MILLIS / 2);
            activeRelayCounts.add(fleet.members.stream()
                    .filter(member -> member.dataCentre.equals("dc0") && member.exchange.isRelay())
                    .count());
        }

        assertTrue(
                activeRelayCounts.stream().allMatch(count -> count <= MAX_ACTIVE_RELAYS),
                "active relays " + activeRelayCounts + ", messages in 3 s " + (fleet.messageCount - messagesBefore));
    }

    /**
     * Failure: a follower's saturated link made a healthy relay's updates look late, and the follower sent to its whole
     * data centre as well.
     */
    @Test
    void instanceWithSlowLinkDoesNotBecomeRelay() {
        SimulatedFleet fleet = new SimulatedFleet(40, 2, 12);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member slowMember = findFollower(fleet, "dc0");
        slowMember.queueDelayMillisAt = _nowMillis -> QUEUE_DELAY_MILLIS;
        fleet.time.advanceMillis(1_000);
        long bytesBefore = slowMember.sentBytes;
        boolean becameRelay = false;
        for (int i = 0; i < 60; i++) {
            fleet.time.advanceMillis(ROUND_MILLIS / 2);
            becameRelay |= slowMember.exchange.isRelay();
        }

        assertFalse(becameRelay, "sent " + (slowMember.sentBytes - bytesBefore) + " bytes in 4.5 s");
    }

    /**
     * Failure: a follower's update was queued on its own link, counted as new on arrival, and replaced a later one from
     * elsewhere.
     */
    @Test
    void updateAgeIncludesSenderQueueDelay() {
        SimulatedFleet fleet = new SimulatedFleet(40, 2, 13);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member slowMember = findFollower(fleet, "dc0");
        Map<String, Long> agesMillisByMember = new HashMap<>();
        for (SimulatedFleet.Member member : fleet.members) {
            member.exchange.subscribe(
                    PeerTopic.TARGET_LIMIT, item -> agesMillisByMember.put(member.name, item.ageMillis()));
        }
        slowMember.queueDelayMillisAt = _nowMillis -> QUEUE_DELAY_MILLIS;
        slowMember.exchange.publish(PeerTopic.TARGET_LIMIT, "t", Bytes.EMPTY, 5_000);
        fleet.time.advanceMillis(3_000);

        assertEquals(
                0,
                agesMillisByMember.values().stream()
                        .filter(age -> age < QUEUE_DELAY_MILLIS)
                        .count(),
                () -> "received by " + agesMillisByMember.size() + " instances, ages in ms "
                        + agesMillisByMember.values());
    }

    /**
     * Failure: store responses and forwarded updates were both late; either delay alone met the bound, their sum did
     * not.
     */
    @Test
    void combinedStoreAndLinkDelaysStayWithinMaxDelay() {
        StringBuilder summary = new StringBuilder();
        long overallWorstMillis = 0;
        for (long linkDelayMillis : new long[] {0, 300, 600, 900}) {
            for (long storeLatencyMillis : new long[] {400, 700}) {
                long worstMillis = worstDelayMillis(linkDelayMillis, storeLatencyMillis);
                summary.append(" link delay ")
                        .append(linkDelayMillis)
                        .append(" store latency ")
                        .append(storeLatencyMillis)
                        .append(" longest delay ")
                        .append(worstMillis);
                overallWorstMillis = Math.max(overallWorstMillis, worstMillis);
            }
        }
        assertTrue(overallWorstMillis <= MAX_DELAY_MILLIS, summary::toString);
    }

    private static long worstDelayMillis(long linkDelayMillis, long storeLatencyMillis) {
        SimulatedFleet fleet = new SimulatedFleet(40, 2, 14);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member reader = fleet.relay("dc0");
        reader.queueDelayMillisAt = _nowMillis -> linkDelayMillis;
        reader.storeLatencyMillis = storeLatencyMillis;
        int recordCount = 60;
        for (int i = 0; i < recordCount; i++) {
            fleet.time.advanceMillis(600 + 37 * (i % 30));
            fleet.writeRecord();
        }
        fleet.time.advanceMillis(6_000);
        long worstMillis = 0;
        for (SimulatedFleet.Member member : fleet.members) {
            for (long offset = 0; offset < recordCount && member != reader; offset++) {
                worstMillis = Math.max(
                        worstMillis,
                        member.appliedAtMillis.getOrDefault(offset, Long.MAX_VALUE) - fleet.writtenAtMillis(offset));
            }
        }
        return worstMillis;
    }

    private static SimulatedFleet.Member findFollower(SimulatedFleet fleet, String dataCentre) {
        return fleet.members.stream()
                .filter(member -> member.dataCentre.equals(dataCentre) && !member.exchange.isRelay())
                .reduce((_one, other) -> other)
                .orElseThrow();
    }
}
