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

/** One instance's messages wait behind what fills its link, and all arrive, in order. */
class SlowLinkTest {

    /** Nine tenths of the least time in which a leaving target has to be heeded everywhere. */
    private static final long MAX_DELAY_MILLIS = 1_800;

    private static final long ROUND_MILLIS = 150;
    private static final long QUEUE_DELAY_MILLIS = 1_500;

    /** Later than a relay is missed, and not so late that its sign of life is of no use any more. */
    private static final long HEARTBEAT_DELAY_MILLIS = 1_440;

    /** The late relay, the next in order that takes over, and one that had not heard that one yet. */
    private static final int MAX_ACTIVE_RELAYS = 3;

    /** Each late word put the silent relay back in its successor's place, and everybody took itself for the relay. */
    @Test
    void delayedHeartbeatsDoNotMakeEveryInstanceARelay() {
        SimulatedFleet fleet = new SimulatedFleet(40, 2, 11);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member slowRelay = fleet.relay("dc0");
        slowRelay.queueDelayMillisAt = _nowMillis -> HEARTBEAT_DELAY_MILLIS;
        fleet.time.advanceMillis(5_000);
        // Instances' rounds are not in step.
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
                activeRelayCounts + ", messages in 3 s " + (fleet.messageCount - messagesBefore));
    }

    /** A follower's own full link made the sound relay's words look late, and it told its whole data centre as well. */
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

    /** What a follower found out waited on its own link and passed for new, over what was stated later elsewhere. */
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
                () -> "heard by " + agesMillisByMember.size() + ", as old as " + agesMillisByMember.values());
    }

    /** The reader's answers came late and so did its word; each alone was in time and both together were not. */
    @Test
    void combinedStoreAndLinkDelaysStayWithinMaxDelay() {
        StringBuilder summary = new StringBuilder();
        long overallWorstMillis = 0;
        for (long linkDelayMillis : new long[] {0, 300, 600, 900}) {
            for (long storeLatencyMillis : new long[] {400, 700}) {
                long worstMillis = worstDelayMillis(linkDelayMillis, storeLatencyMillis);
                summary.append(" way ")
                        .append(linkDelayMillis)
                        .append(" answer ")
                        .append(storeLatencyMillis)
                        .append(" worst ")
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
