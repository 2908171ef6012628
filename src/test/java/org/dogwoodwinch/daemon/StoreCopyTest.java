package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** The store comes back from copies that lack its last records, while instances are cut off, paused or relays. */
class StoreCopyTest {

    /** Nine tenths of the shortest time within which all instances must apply a configuration. */
    private static final long MAX_DELAY_MILLIS = 1_800;

    /** The time for which an instance must have been healthy before the delay bound applies to it again. */
    private static final long MIN_HEALTHY_MILLIS = 3_000;

    private static final int STEP_COUNT = 8;

    @Test
    void recordAtOffsetGivenOutAgainReachesAllInstances() {
        for (int count : new int[] {6, 9, 72, 90}) {
            SimulatedFleet fleet = new SimulatedFleet(count, 3, 4);
            fleet.time.advanceMillis(5_000);
            write(fleet, 5);
            fleet.time.advanceMillis(2_000);

            fleet.loseLastRecords(4);
            write(fleet, 4);
            fleet.time.advanceMillis(MAX_DELAY_MILLIS);

            assertAllApplied(fleet, "fleet of " + count);
        }
    }

    @Test
    void noRecordIsSkippedInRandomSchedulesOfCopies() {
        for (int seed = 1; seed <= 120; seed++) {
            playSchedule(seed % 2 == 0 ? 6 : 9, seed);
        }
        for (int seed = 1; seed <= 4; seed++) {
            playSchedule(seed % 2 == 0 ? 72 : 90, seed);
        }
    }

    @Test
    void instancesThatStoreTurnsAwayLearnEraFromPeers() {
        SimulatedFleet fleet = new SimulatedFleet(9, 3, 6);
        fleet.time.advanceMillis(5_000);
        write(fleet, 5);
        fleet.time.advanceMillis(2_000);
        List<SimulatedFleet.Member> turnedAway = fleet.members.stream()
                .filter(member -> !member.exchange.isRelay() && !member.dataCentre.equals("dc2"))
                .toList();
        turnedAway.forEach(member -> member.storeUnreachable = true);

        fleet.loseLastRecords(3);
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        write(fleet, 2);
        fleet.time.advanceMillis(MIN_HEALTHY_MILLIS);

        assertEquals(4, turnedAway.size());
        assertAllApplied(fleet, "turned away");
    }

    /** A relay wakes up with answers of the lost history, and publishes them as fresh. */
    @Test
    void relayOfEarlierEraDoesNotHoldBackOthers() {
        SimulatedFleet fleet = new SimulatedFleet(9, 3, 7);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member relay = fleet.relay("dc0");
        write(fleet, 3);
        relay.setPaused(true);
        write(fleet, 2);
        fleet.loseLastRecords(3);
        fleet.time.advanceMillis(2_000);
        relay.setPaused(false);
        write(fleet, 3);
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);

        assertAllApplied(fleet, "stale relay");
    }

    private static void playSchedule(int fleetSize, int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        SimulatedFleet fleet = new SimulatedFleet(fleetSize, 3, seed);
        fleet.time.advanceMillis(4_000);
        write(fleet, 1 + random.nextInt(6));
        for (int step = 0; step < STEP_COUNT; step++) {
            List<SimulatedFleet.Member> afflicted = fleet.members.stream()
                    .filter(_member -> random.nextInt(2) == 0)
                    .toList();
            int trouble = random.nextInt(4);
            afflicted.forEach(member -> afflict(member, trouble, true));
            fleet.time.advanceMillis(random.nextInt(1_500));
            fleet.loseLastRecords(random.nextInt(5));
            fleet.time.advanceMillis(random.nextInt(3) == 0 ? 0 : random.nextInt(800));
            if (random.nextInt(4) == 0) {
                fleet.loseLastRecords(random.nextInt(2));
            }
            write(fleet, random.nextInt(6));
            fleet.time.advanceMillis(random.nextInt(1_500));
            afflicted.forEach(member -> afflict(member, trouble, false));
            write(fleet, random.nextInt(3));
            fleet.time.advanceMillis(random.nextInt(2_000));
        }
        fleet.time.advanceMillis(MIN_HEALTHY_MILLIS);
        write(fleet, 1);
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        assertAllApplied(fleet, "seed " + seed + ", fleet of " + fleetSize);
    }

    private static void afflict(SimulatedFleet.Member member, int trouble, boolean begins) {
        switch (trouble) {
            case 0 -> member.storeUnreachable = begins;
            case 1 -> member.setIsolated(begins);
            case 2 -> member.setPaused(begins);
            default -> member.storeLatencyMillis = begins ? 400 : 4;
        }
    }

    private static void write(SimulatedFleet fleet, int count) {
        for (int i = 0; i < count; i++) {
            fleet.writeRecord();
        }
    }

    private static void assertAllApplied(SimulatedFleet fleet, String text) {
        List<Long> positions = fleet.positions();
        assertTrue(!positions.isEmpty(), text);
        fleet.members.forEach(member -> assertEquals(
                List.of(),
                positions.stream()
                        .filter(position -> !member.appliedAtMillis.containsKey(position))
                        .toList(),
                text + ", " + member.name));
    }
}
