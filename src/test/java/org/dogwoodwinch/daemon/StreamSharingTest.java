package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/**
 * One instance of each data centre reads the store for all. If it fails, the others still receive records in
 * time.
 */
class StreamSharingTest {

    /**
     * Nine tenths of the shortest time within which all instances must apply a configuration or stop using a draining
     * target.
     */
    private static final long MAX_DELAY_MILLIS = 1_800;

    /** The time for which an instance must have been healthy before the delay bound applies to it again. */
    private static final long MIN_HEALTHY_MILLIS = 3_000;

    /** Three read pauses: that of a reader, that of a forwarding relay, and that of an instance that follows it. */
    private static final long MAX_FORWARDED_MILLIS = 310;

    private static final int SCHEDULE_COUNT = 200;
    private static final int STEP_COUNT = 12;

    private static long worstDelayMillis(
            SimulatedFleet fleet, SimulatedFleet.Member member, long fromOffset, long toOffset) {
        long worstMillis = 0;
        for (long offset = fromOffset; offset < toOffset; offset++) {
            long appliedMillis = member.appliedAtMillis.getOrDefault(offset, Long.MAX_VALUE);
            worstMillis = Math.max(worstMillis, appliedMillis - fleet.writtenAtMillis(offset));
        }
        return worstMillis;
    }

    /**
     * Guards against store load that grows with the fleet: only a few readers call the store, whatever the fleet's
     * size.
     */
    @Test
    void oneInstancePerDataCentreReadsStore() {
        Map<Integer, Integer> callsByFleetSize = new HashMap<>();
        for (int fleetSize : new int[] {9, 72}) {
            SimulatedFleet fleet = new SimulatedFleet(fleetSize, 3, 1);
            fleet.time.advanceMillis(5_000);
            int callsBefore = fleet.storeCallCount;
            fleet.time.advanceMillis(20_000);
            callsByFleetSize.put(fleetSize, fleet.storeCallCount - callsBefore);
        }
        assertEquals(callsByFleetSize.get(9), callsByFleetSize.get(72));
        assertTrue(callsByFleetSize.get(72) <= 3 * 20_000 / 600, callsByFleetSize::toString);
    }

    /** A record must reach all instances within a few network delays of its acknowledgement, not one round later. */
    @Test
    void recordIsForwardedImmediately() {
        SimulatedFleet fleet = new SimulatedFleet(72, 3, 2);
        fleet.time.advanceMillis(5_000);
        fleet.writeRecord();
        fleet.time.advanceMillis(20);
        fleet.members.forEach(member -> assertEquals(1, member.appliedAtMillis.size(), member.name));
    }

    /**
     * Failure: the reader is cut off from the store but not from its peers, so its updates are valid but outdated.
     * Instances that can reach the store must then read it themselves within the bound.
     */
    @Test
    void readerCutOffFromStoreDelaysNoOtherInstance() {
        SimulatedFleet fleet = new SimulatedFleet(9, 3, 3);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member reader = fleet.relay("dc0");
        reader.storeUnreachable = true;
        fleet.writeRecord();
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        fleet.members.stream()
                .filter(member -> member != reader)
                .forEach(member -> assertEquals(1, member.appliedAtMillis.size(), member.name));
    }

    /** The reader still reads the store, but none of its messages arrive: a network cut in one direction. */
    @Test
    void readerWhoseMessagesAreLostIsReplaced() {
        SimulatedFleet fleet = new SimulatedFleet(72, 3, 4);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member reader = fleet.relay("dc1");
        reader.dropsSent = true;
        fleet.time.advanceMillis(200);
        fleet.writeRecord();
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        fleet.members.forEach(member -> assertEquals(1, member.appliedAtMillis.size(), member.name));
        fleet.time.advanceMillis(3_000);
        int callsBefore = fleet.storeCallCount;
        fleet.time.advanceMillis(20_000);
        assertTrue(fleet.storeCallCount - callsBefore <= 4 * 20_000 / 600, fleet.storeCallsByMember::toString);
    }

    /** A reader that is resumed after others took over must not revert their state, and continues where it stopped. */
    @Test
    void resumedReaderDoesNotRevertState() {
        SimulatedFleet fleet = new SimulatedFleet(9, 3, 5);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member reader = fleet.relay("dc2");
        reader.setPaused(true);
        fleet.writeRecord();
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        fleet.writeRecord();
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        reader.setPaused(false);
        fleet.writeRecord();
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);
        fleet.members.forEach(member -> {
            assertEquals(3, member.appliedAtMillis.size(), member.name);
            assertTrue(member == reader || worstDelayMillis(fleet, member, 0, 3) <= MAX_DELAY_MILLIS, member.name);
        });
    }

    /** Guards against a relay that takes records from another data centre's relay and lets its own wait for a takeover. */
    @Test
    void recordsTakenFromOtherDataCentreAreForwardedInOwnOne() {
        SimulatedFleet fleet = new SimulatedFleet(9, 3, 7);
        fleet.time.advanceMillis(5_000);
        shiftReadsOfRelays(fleet);
        for (int i = 0; i < 60; i++) {
            fleet.writeRecord();
            fleet.time.advanceMillis(37);
        }
        fleet.time.advanceMillis(MAX_DELAY_MILLIS);

        long worstMillis = fleet.members.stream()
                .mapToLong(member -> worstDelayMillis(fleet, member, 1, 61))
                .max()
                .orElseThrow();
        assertTrue(worstMillis <= MAX_FORWARDED_MILLIS, "longest delay " + worstMillis + " ms");
    }

    /** Lets the relays read at different moments, as those of a fleet whose instances start one after the other. */
    private static void shiftReadsOfRelays(SimulatedFleet fleet) {
        List<SimulatedFleet.Member> relays = List.of(fleet.relay("dc1"), fleet.relay("dc2"));
        relays.forEach(relay -> relay.setPaused(true));
        fleet.writeRecord();
        for (SimulatedFleet.Member relay : relays) {
            fleet.time.advanceMillis(35);
            relay.setPaused(false);
        }
    }

    /** Each data centre has its own relay, which is replaced by another instance when it dies. */
    @Test
    void failedRelayIsReplaced() {
        SimulatedFleet fleet = new SimulatedFleet(12, 3, 6);
        fleet.time.advanceMillis(5_000);
        SimulatedFleet.Member failedRelay = fleet.relay("dc0");
        failedRelay.setIsolated(true);
        fleet.time.advanceMillis(2_000);
        long activeRelayCount = fleet.members.stream()
                .filter(member -> member != failedRelay && member.dataCentre.equals("dc0") && member.exchange.isRelay())
                .count();
        assertEquals(1, activeRelayCount);
        assertNotEquals(
                failedRelay.name,
                fleet.members.stream()
                        .filter(member -> member != failedRelay && member.exchange.isRelay())
                        .findFirst()
                        .orElseThrow()
                        .name);
    }

    /**
     * Runs 200 schedules of kills, one-way cuts, cuts from the store and pauses, sequential and overlapping, with a
     * record written about every two seconds. Instances that have been healthy for three seconds apply each record in
     * time, and no instance misses one.
     */
    @Test
    void healthyInstancesReceiveRecordsInTimeDespiteFaults() {
        long worstMillis = 0;
        for (int schedule = 0; schedule < SCHEDULE_COUNT; schedule++) {
            worstMillis = Math.max(worstMillis, simulate(schedule));
        }
        assertTrue(worstMillis <= MAX_DELAY_MILLIS, "longest delay " + worstMillis + " ms");
    }

    private static long simulate(int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        SimulatedFleet fleet = new SimulatedFleet(6 + random.nextInt(10), 3, seed);
        fleet.time.advanceMillis(4_000);
        Map<String, Long> healthySinceMillis = new HashMap<>();
        fleet.members.forEach(member -> healthySinceMillis.put(member.name, fleet.time.monotonicMillis()));
        long worstMillis = 0;
        for (int step = 0; step < STEP_COUNT; step++) {
            injectFaults(fleet, random, healthySinceMillis);
            fleet.time.advanceMillis(random.nextInt(400));
            fleet.writeRecord();
            long writtenMillis = fleet.writtenAtMillis(step);
            fleet.time.advanceMillis(MAX_DELAY_MILLIS + 1);
            for (SimulatedFleet.Member member : fleet.members) {
                if (healthySinceMillis.get(member.name) <= writtenMillis - MIN_HEALTHY_MILLIS) {
                    long appliedMillis = member.appliedAtMillis.getOrDefault((long) step, Long.MAX_VALUE);
                    worstMillis = Math.max(worstMillis, appliedMillis - writtenMillis);
                }
            }
        }
        fleet.members.forEach(StreamSharingTest::clearFaults);
        fleet.time.advanceMillis(10_000);
        fleet.members.forEach(member -> assertEquals(STEP_COUNT, member.appliedAtMillis.size(), member.name));
        return worstMillis;
    }

    private static void injectFaults(
            SimulatedFleet fleet, UniformRandomProvider random, Map<String, Long> healthySinceMillis) {
        for (SimulatedFleet.Member member : fleet.members) {
            boolean faulty = healthySinceMillis.get(member.name) == Long.MAX_VALUE;
            if (faulty && random.nextInt(3) == 0) {
                clearFaults(member);
                healthySinceMillis.put(member.name, fleet.time.monotonicMillis());
            } else if (!faulty && random.nextInt(member.exchange.isRelay() ? 3 : 12) == 0) {
                injectFault(member, random.nextInt(5));
                healthySinceMillis.put(member.name, Long.MAX_VALUE);
            }
        }
    }

    private static void injectFault(SimulatedFleet.Member member, int kind) {
        switch (kind) {
            case 0 -> member.setIsolated(true);
            case 1 -> member.storeUnreachable = true;
            case 2 -> member.dropsSent = true;
            case 3 -> member.dropsReceived = true;
            default -> member.setPaused(true);
        }
    }

    private static void clearFaults(SimulatedFleet.Member member) {
        member.setIsolated(false);
        member.setPaused(false);
    }
}
