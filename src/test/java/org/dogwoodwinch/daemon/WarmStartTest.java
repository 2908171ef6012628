package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Instances that start while the platform turns them away know what their neighbours know. */
class WarmStartTest {

    private static final int RECORD_COUNT = 5;

    /** A relay gives a sign of life every 300 ms: the first one finds the new process, and all follows it. */
    private static final long WARM_START_MILLIS = 700;

    /** Nine tenths of the least time in which a configuration or a leaving target has to be heeded everywhere. */
    private static final long MAX_DELAY_MILLIS = 1_800;

    private static SimulatedFleet createSettledFleet(int memberCount, int dataCentreCount, int seed) {
        SimulatedFleet fleet = new SimulatedFleet(memberCount, dataCentreCount, seed);
        fleet.time.advanceMillis(3_000);
        for (int i = 0; i < RECORD_COUNT; i++) {
            fleet.writeRecord();
        }
        fleet.time.advanceMillis(2_000);
        return fleet;
    }

    private static List<SimulatedFleet.Member> membersOf(SimulatedFleet fleet, String dataCentre) {
        return fleet.members.stream()
                .filter(member -> member.dataCentre.equals(dataCentre))
                .toList();
    }

    /**
     * An instance starts while the store turns it away, and knows no address but its own. Callers that reach it are refused
     * for as long, since it has no configuration and no targets, though each neighbour has both. A neighbour that connects
     * to it anew tells it everything at once.
     */
    @Test
    void instanceRejectedByStoreReceivesStateFromPeers() {
        SimulatedFleet fleet = createSettledFleet(24, 3, 11);
        SimulatedFleet.Member restarted = fleet.members.stream()
                .filter(member -> !member.exchange.isRelay())
                .findFirst()
                .orElseThrow();
        restarted.storeUnreachable = true;
        restarted.knowsMembers = false;
        restarted.restart();
        fleet.time.advanceMillis(WARM_START_MILLIS);
        assertEquals(RECORD_COUNT, restarted.appliedAtMillis.size());
    }

    /**
     * A whole data centre loses power, and the store turns all of it away for ten seconds. Its callers have nobody else
     * near them. The reader of another data centre tells its first instance, which tells the others; what is written
     * meanwhile reaches them by the same way in time.
     */
    @Test
    void dataCentreRejectedByStoreReceivesStateFromAnother() {
        SimulatedFleet fleet = createSettledFleet(24, 3, 12);
        List<SimulatedFleet.Member> rejected = membersOf(fleet, "dc0");
        rejected.forEach(member -> member.storeUnreachable = true);
        rejected.forEach(SimulatedFleet.Member::restart);
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        rejected.forEach(member -> assertEquals(RECORD_COUNT, member.appliedAtMillis.size(), member.name));
        fleet.time.advanceMillis(2_000);
        fleet.writeRecord();
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        rejected.forEach(member -> assertEquals(RECORD_COUNT + 1, member.appliedAtMillis.size(), member.name));
    }

    /** All lose power at once, and the store answers one instance in six: the others serve by what these have read. */
    @Test
    void instancesThatReadStoreUpdateOthersAfterFullRestart() {
        SimulatedFleet fleet = createSettledFleet(24, 3, 13);
        for (int i = 0; i < fleet.members.size(); i++) {
            fleet.members.get(i).storeUnreachable = i % 6 != 0;
        }
        fleet.members.forEach(SimulatedFleet.Member::restart);
        fleet.time.advanceMillis(3_000);
        fleet.members.forEach(member -> assertEquals(RECORD_COUNT, member.appliedAtMillis.size(), member.name));
    }

    /** What it was told is no older than what the relay has, and the store's own word comes on top of it. */
    @Test
    void storeReadsContinueAfterStateFromPeers() {
        SimulatedFleet fleet = createSettledFleet(24, 3, 14);
        SimulatedFleet.Member restarted = membersOf(fleet, "dc1").get(0);
        restarted.storeUnreachable = true;
        restarted.restart();
        fleet.time.advanceMillis(WARM_START_MILLIS);
        restarted.storeUnreachable = false;
        fleet.writeRecord();
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        assertEquals(RECORD_COUNT + 1, restarted.appliedAtMillis.size());
        assertTrue(restarted.appliedAtMillis.get((long) RECORD_COUNT) >= restarted.appliedAtMillis.get(0L));
    }
}
