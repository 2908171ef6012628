package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Targets leave, with or without an announcement, while the store fails single instances or all of them. */
class LeavingTargetsTest {

    private static final long DRAIN_MILLIS = 2_000;

    /** What the platform states of entries that lapsed while the store was away. */
    private static final long MAX_RENEWAL_MILLIS = 2_000;

    /** Less than the time limit of a read that the store may hold. */
    private static final long LATE_ANSWER_MILLIS = 900;

    private static final int SCHEDULES_COUNT = 12;
    private static final int STEPS_COUNT = 10;

    /** An instance whose own machine failed is bound again after it has been well for so long. */
    private static final long MIN_HEALTHY_MILLIS = 3_000;

    /** The store turns one instance away while it answers the others, and a target leaves just after that has ended. */
    @Test
    void removalAfterOwnRefusedReadsIsNotHeldBeyondDrainTime() {
        long worstMillis = 0;
        for (int delayMillis = 0; delayMillis < 2_000; delayMillis += 20) {
            TargetFleet fleet = new TargetFleet(9, 3, delayMillis);
            fleet.advanceMillis(5_000);
            SimulatedFleet.Member relay = fleet.relay("dc0");
            relay.storeFault = SimulatedFleet.StoreFault.REFUSED;
            fleet.advanceMillis(7_000);
            relay.storeFault = SimulatedFleet.StoreFault.NONE;
            fleet.advanceMillis(delayMillis);
            fleet.remove("t0");
            fleet.advanceMillis(3 * DRAIN_MILLIS);
            worstMillis = Math.max(worstMillis, fleet.worstDelayMillis("t0", _member -> true));
        }
        assertWithinDrainTime(worstMillis);
    }

    /** One lost answer of the store at an instance that reads for the others. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostAnswerDelaysNeitherRemovalNorAnnouncementBeyondDrainTime(boolean announced) {
        long worstMillis = 0;
        for (int delayMillis = 0; delayMillis < 2_000; delayMillis += 50) {
            TargetFleet fleet = new TargetFleet(9, 3, delayMillis);
            fleet.advanceMillis(5_000);
            SimulatedFleet.Member relay = fleet.relay("dc0");
            relay.storeFault = SimulatedFleet.StoreFault.SILENT;
            relay.storeFaultCallsCount = 1;
            fleet.advanceMillis(delayMillis);
            fleet.leave("t0", announced);
            fleet.advanceMillis(3 * DRAIN_MILLIS);
            worstMillis = Math.max(worstMillis, fleet.worstDelayMillis("t0", _member -> true));
        }
        assertWithinDrainTime(worstMillis);
    }

    /** The relay dies just before a target leaves, and the first answer to its only successor is lost. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lostAnswerAtTakeoverDelaysNeitherRemovalNorAnnouncementBeyondDrainTime(boolean announced) {
        long worstMillis = 0;
        for (int delayMillis = 0; delayMillis < 800; delayMillis += 25) {
            TargetFleet fleet = new TargetFleet(6, 3, delayMillis);
            fleet.advanceMillis(5_000 + delayMillis);
            SimulatedFleet.Member relay = fleet.relay("dc0");
            relay.setIsolated(true);
            for (SimulatedFleet.Member member : fleet.members()) {
                if (member != relay && member.dataCentre.equals("dc0")) {
                    member.storeFault = SimulatedFleet.StoreFault.SILENT;
                    member.storeFaultCallsCount = 1;
                }
            }
            fleet.advanceMillis(30);
            fleet.leave("t0", announced);
            fleet.advanceMillis(3 * DRAIN_MILLIS);
            worstMillis = Math.max(worstMillis, fleet.worstDelayMillis("t0", member -> member != relay));
        }
        assertWithinDrainTime(worstMillis);
    }

    /** The answers of the store reach the relay late, and it dies: what it told last is older than it seemed. */
    @Test
    void stateFromLateAnswersIsNotTakenForCurrent() {
        long worstMillis = 0;
        for (int delayMillis = 0; delayMillis < 1_600; delayMillis += 10) {
            TargetFleet fleet = new TargetFleet(9, 3, delayMillis);
            fleet.advanceMillis(5_000);
            SimulatedFleet.Member relay = fleet.relay("dc0");
            relay.storeLatencyMillis = LATE_ANSWER_MILLIS;
            fleet.advanceMillis(3_000 + delayMillis);
            fleet.leave("t0", true);
            fleet.advanceMillis(LATE_ANSWER_MILLIS - 5);
            relay.setIsolated(true);
            fleet.advanceMillis(3 * DRAIN_MILLIS);
            worstMillis = Math.max(worstMillis, fleet.worstDelayMillis("t0", member -> member != relay));
        }
        assertWithinDrainTime(worstMillis);
    }

    /**
     * Random schedules in which the store stays sound: it refuses or does not answer single instances for a while, and
     * relays are killed, paused, cut off and started again, one at a time, while targets leave.
     */
    @ParameterizedTest
    @ValueSource(ints = {6, 12, 48, 90})
    void leavingTargetsGetNoCallAfterDrainTimeWhileSingleInstancesFail(int membersCount) {
        int schedulesCount = membersCount > 20 ? SCHEDULES_COUNT / 4 : SCHEDULES_COUNT;
        for (int seed = 0; seed < schedulesCount; seed++) {
            simulateFailuresOfInstances(membersCount, seed);
        }
    }

    private static void simulateFailuresOfInstances(int membersCount, int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        TargetFleet fleet = new TargetFleet(membersCount, 3, seed);
        fleet.advanceMillis(4_000);
        for (int step = 0; step < STEPS_COUNT; step++) {
            SimulatedFleet.Member faulty = random.nextInt(3) == 0
                    ? fleet.members().get(random.nextInt(membersCount))
                    : fleet.relay("dc" + random.nextInt(3));
            long beforeMillis = random.nextInt(1_600);
            boolean bound = injectFault(faulty, random, fleet);
            fleet.advanceMillis(beforeMillis);
            String targetId = "t" + step;
            boolean announced = random.nextBoolean();
            fleet.leave(targetId, announced);
            fleet.advanceMillis(random.nextInt(1_500));
            clearFaults(faulty);
            fleet.advanceMillis(2 * DRAIN_MILLIS);
            long worstMillis = fleet.worstDelayMillis(targetId, member -> bound || member != faulty);
            assertTrue(
                    worstMillis <= DRAIN_MILLIS,
                    "seed " + seed + ", step " + step + ", announced " + announced + ": " + worstMillis + " ms");
            fleet.advanceMillis(MIN_HEALTHY_MILLIS);
        }
    }

    /** Lets one instance fail, and returns whether it is still bound by the drain time, as its machine is sound. */
    private static boolean injectFault(SimulatedFleet.Member member, UniformRandomProvider random, TargetFleet fleet) {
        switch (random.nextInt(7)) {
            case 0 -> member.setIsolated(true);
            case 1 -> member.dropsSent = true;
            case 2 -> member.setPaused(true);
            case 3 -> fleet.restart(member);
            case 4 -> {
                member.storeFault = SimulatedFleet.StoreFault.SILENT;
                member.storeFaultCallsCount = 1;
                return true;
            }
            default -> {
                member.storeFault = SimulatedFleet.StoreFault.REFUSED;
                member.storeFaultCallsCount = random.nextBoolean() ? 1 : Integer.MAX_VALUE;
                return true;
            }
        }
        return false;
    }

    private static void clearFaults(SimulatedFleet.Member member) {
        member.setIsolated(false);
        member.setPaused(false);
        member.storeFault = SimulatedFleet.StoreFault.NONE;
        member.storeFaultCallsCount = Integer.MAX_VALUE;
    }

    /**
     * The store is away for all, entries lapse, and those of sound targets are back within two seconds of its return.
     * Calls to them go on all the time; a target that is not back is out soon after.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 6, 12, 48})
    void soundTargetsThatLapsedInOutageKeepTheirCalls(int membersCount) {
        for (int seed = 0; seed < SCHEDULES_COUNT; seed++) {
            simulateOutage(membersCount, seed);
        }
    }

    private static void simulateOutage(int membersCount, int seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        TargetFleet fleet = new TargetFleet(membersCount, Math.min(3, membersCount), seed);
        fleet.advanceMillis(4_000 + random.nextInt(1_000));
        boolean refusing = random.nextBoolean();
        fleet.members()
                .forEach(member -> member.storeFault =
                        refusing ? SimulatedFleet.StoreFault.REFUSED : SimulatedFleet.StoreFault.SILENT);
        fleet.pauseRenewals();
        fleet.advanceMillis(3_600 + random.nextInt(4_000));
        List<String> lapsed = IntStream.range(0, TargetFleet.TARGETS_COUNT)
                .mapToObj(i -> "t" + i)
                .filter(_id -> random.nextInt(4) > 0)
                .toList();
        lapsed.forEach(fleet::remove);
        fleet.members().forEach(LeavingTargetsTest::clearFaults);
        Optional<String> gone = lapsed.stream().findFirst();
        fleet.renewWithin(MAX_RENEWAL_MILLIS, random, gone);
        fleet.advanceMillis(MAX_RENEWAL_MILLIS + DRAIN_MILLIS);

        IntStream.range(0, TargetFleet.TARGETS_COUNT)
                .mapToObj(i -> "t" + i)
                .filter(id -> gone.filter(id::equals).isEmpty())
                .forEach(id -> assertEquals(0, fleet.outCount(id), "seed " + seed + ", sound target " + id));
        gone.ifPresent(id -> assertEquals(membersCount, fleet.outCount(id), "seed " + seed + ", target gone " + id));
    }

    private static void assertWithinDrainTime(long worstMillis) {
        assertTrue(worstMillis <= DRAIN_MILLIS, "last call possible " + worstMillis + " ms after the acknowledgement");
    }
}
