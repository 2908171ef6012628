package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** One instance of each data centre reads the store for all; whatever befalls it, the others learn in time. */
class StreamSharingTest {

    /** Nine tenths of the least time in which a configuration or a leaving target has to be heeded everywhere. */
    private static final long BOUND_MILLIS = 1_800;

    /** As long as an instance has to have been sound before it is bound by promises again. */
    private static final long IN_TOUCH_MILLIS = 3_000;

    private static final int SCHEDULES = 200;
    private static final int STEPS = 12;

    private static long worstDelayMillis(RelayFleet fleet, RelayFleet.Member member, long fromOffset, long toOffset) {
        long worst = 0;
        for (long offset = fromOffset; offset < toOffset; offset++) {
            long applied = member.appliedAtMillis.getOrDefault(offset, Long.MAX_VALUE);
            worst = Math.max(worst, applied - fleet.writtenAtMillis(offset));
        }
        return worst;
    }

    /** Calls to the store stay those of a few readers however many instances there are. */
    @Test
    void oneInstanceOfADataCentreReads() {
        Map<Integer, Integer> calls = new HashMap<>();
        for (int size : new int[] {9, 72}) {
            RelayFleet fleet = new RelayFleet(size, 3, 1);
            fleet.time.advanceMillis(5_000);
            int before = fleet.storeCallsCount;
            fleet.time.advanceMillis(20_000);
            calls.put(size, fleet.storeCallsCount - before);
        }
        assertEquals(calls.get(9), calls.get(72));
        assertTrue(calls.get(72) <= 3 * 20_000 / 600, calls::toString);
    }

    /** A record reaches all instances within a few network delays of its acknowledgement, not a round later. */
    @Test
    void aRecordIsToldAtOnce() {
        RelayFleet fleet = new RelayFleet(72, 3, 2);
        fleet.time.advanceMillis(5_000);
        fleet.write();
        fleet.time.advanceMillis(20);
        fleet.members.forEach(member -> assertEquals(1, member.appliedAtMillis.size(), member.name));
    }

    /**
     * The reader loses the store but not its neighbours, and says nothing wrong: its word is just old. Those that rely on
     * it are in touch with the store and bound by it, so they read for themselves before the bound is over.
     */
    @Test
    void aReaderThatIsCutOffFromTheStoreHoldsNobodyBack() {
        RelayFleet fleet = new RelayFleet(9, 3, 3);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member reader = fleet.relay("dc0");
        reader.storeCut = true;
        fleet.write();
        fleet.time.advanceMillis(BOUND_MILLIS);
        fleet.members.stream()
                .filter(member -> member != reader)
                .forEach(member -> assertEquals(1, member.appliedAtMillis.size(), member.name));
    }

    /** The reader goes on reading, but nobody hears it: a cut one way. */
    @Test
    void aReaderThatNobodyHearsIsReplaced() {
        RelayFleet fleet = new RelayFleet(72, 3, 4);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member reader = fleet.relay("dc1");
        reader.mute = true;
        fleet.time.advanceMillis(200);
        fleet.write();
        fleet.time.advanceMillis(BOUND_MILLIS);
        fleet.members.forEach(member -> assertEquals(1, member.appliedAtMillis.size(), member.name));
        fleet.time.advanceMillis(3_000);
        int before = fleet.storeCallsCount;
        fleet.time.advanceMillis(20_000);
        assertTrue(fleet.storeCallsCount - before <= 4 * 20_000 / 600, fleet.storeCalls::toString);
    }

    /** It is thawed after others took over: its old word takes nobody back, and it goes on where it stopped. */
    @Test
    void aReaderThatWasFrozenTakesNobodyBack() {
        RelayFleet fleet = new RelayFleet(9, 3, 5);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member reader = fleet.relay("dc2");
        reader.frozen(true);
        fleet.write();
        fleet.time.advanceMillis(BOUND_MILLIS);
        fleet.write();
        fleet.time.advanceMillis(BOUND_MILLIS);
        reader.frozen(false);
        fleet.write();
        fleet.time.advanceMillis(BOUND_MILLIS);
        fleet.members.forEach(member -> {
            assertEquals(3, member.appliedAtMillis.size(), member.name);
            assertTrue(member == reader || worstDelayMillis(fleet, member, 0, 3) <= BOUND_MILLIS, member.name);
        });
    }

    /** Data centres have relays of their own, and the one that dies is replaced by another. */
    @Test
    void aRelayThatDiesIsReplaced() {
        RelayFleet fleet = new RelayFleet(12, 3, 6);
        fleet.time.advanceMillis(5_000);
        RelayFleet.Member first = fleet.relay("dc0");
        first.dead(true);
        fleet.time.advanceMillis(2_000);
        long acting = fleet.members.stream()
                .filter(member -> member != first && member.dataCentre.equals("dc0") && member.exchange.isRelay())
                .count();
        assertEquals(1, acting);
        assertNotEquals(
                first.name,
                fleet.members.stream()
                        .filter(member -> member != first && member.exchange.isRelay())
                        .findFirst()
                        .orElseThrow()
                        .name);
    }

    /**
     * 200 schedules of kills, cuts one way, cuts off the store and freezes, one after the other and overlapping, with a
     * record written twice a second. Each instance that was sound for three seconds heeds each record in time, and
     * nobody ever misses one.
     */
    @Test
    void whateverFailsSoundInstancesLearnInTime() {
        long worst = 0;
        for (int schedule = 0; schedule < SCHEDULES; schedule++) {
            worst = Math.max(worst, play(schedule));
        }
        assertTrue(worst <= BOUND_MILLIS, "worst delay " + worst + " ms");
    }

    private static long play(int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        RelayFleet fleet = new RelayFleet(6 + random.nextInt(10), 3, seed);
        fleet.time.advanceMillis(4_000);
        Map<String, Long> soundSinceMillis = new HashMap<>();
        fleet.members.forEach(member -> soundSinceMillis.put(member.name, fleet.time.monotonicMillis()));
        long worst = 0;
        for (int step = 0; step < STEPS; step++) {
            disturb(fleet, random, soundSinceMillis);
            fleet.time.advanceMillis(random.nextInt(400));
            fleet.write();
            long written = fleet.writtenAtMillis(step);
            fleet.time.advanceMillis(BOUND_MILLIS + 1);
            for (RelayFleet.Member member : fleet.members) {
                if (soundSinceMillis.get(member.name) <= written - IN_TOUCH_MILLIS) {
                    long applied = member.appliedAtMillis.getOrDefault((long) step, Long.MAX_VALUE);
                    worst = Math.max(worst, applied - written);
                }
            }
        }
        fleet.members.forEach(StreamSharingTest::heal);
        fleet.time.advanceMillis(10_000);
        fleet.members.forEach(member -> assertEquals(STEPS, member.appliedAtMillis.size(), member.name));
        return worst;
    }

    private static void disturb(RelayFleet fleet, UniformRandomProvider random, Map<String, Long> soundSinceMillis) {
        for (RelayFleet.Member member : fleet.members) {
            boolean failing = soundSinceMillis.get(member.name) == Long.MAX_VALUE;
            if (failing && random.nextInt(3) == 0) {
                heal(member);
                soundSinceMillis.put(member.name, fleet.time.monotonicMillis());
            } else if (!failing && random.nextInt(member.exchange.isRelay() ? 3 : 12) == 0) {
                harm(member, random.nextInt(5));
                soundSinceMillis.put(member.name, Long.MAX_VALUE);
            }
        }
    }

    private static void harm(RelayFleet.Member member, int kind) {
        switch (kind) {
            case 0 -> member.dead(true);
            case 1 -> member.storeCut = true;
            case 2 -> member.mute = true;
            case 3 -> member.deaf = true;
            default -> member.frozen(true);
        }
    }

    private static void heal(RelayFleet.Member member) {
        member.dead(false);
        member.frozen(false);
    }
}
