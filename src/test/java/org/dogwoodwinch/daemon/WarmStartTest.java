package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Instances that start while the store rejects their calls receive the state of their peers. */
class WarmStartTest {

    private static final int RECORD_COUNT = 5;

    /**
     * Covers the 300 ms between the heartbeats of a relay: the first one reaches the new process, and the state
     * follows.
     */
    private static final long WARM_START_MILLIS = 700;

    /**
     * Nine tenths of the shortest time within which all instances must apply a configuration or stop using a draining
     * target.
     */
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
     * Failure: an instance started while the store rejected its calls and knew no peer address; it refused callers for
     * lack of configuration and targets, although its peers had both. A peer that connects to it must send it all
     * state.
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
     * Failure: a whole data centre loses power, the store rejects all of its calls for ten seconds, and its callers
     * have no other instance nearby. The reader of another data centre must send its state and later records.
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

    /**
     * All instances restart, and the store responds to one in six: the others must serve from the state that these have
     * read.
     */
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

    /**
     * State received from peers is as recent as the relay's, and records read from the store later are applied on top.
     */
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
