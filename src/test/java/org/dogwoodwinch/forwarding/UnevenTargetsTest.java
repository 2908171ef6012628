package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Load: 60 targets before 60 instances; some are slow for long, some for half a second, and one fails all calls. */
class UnevenTargetsTest {

    private static final int TARGETS_COUNT = 60;
    private static final int FIFTH = TARGETS_COUNT / 5;

    private static SimulatedTargets uneven(boolean knowsSpeeds) {
        SimulatedTargets simulated = new SimulatedTargets(TARGETS_COUNT, 4, knowsSpeeds);
        for (int i = 0; i < FIFTH; i++) {
            simulated.targets.get(i).timeRatio = 4;
            simulated.slowAtTimes(simulated.targets.get(FIFTH + i), 2.5);
        }
        simulated.targets.get(TARGETS_COUNT - 1).isFailing = true;
        return simulated;
    }

    /** Failure: slow targets make their calls late, and a target that fails calls at once receives most of them. */
    @Test
    void callsInTimeAreNearlyThoseOfKnownSpeeds() {
        SimulatedTargets known = uneven(true);
        SimulatedTargets observed = uneven(false);
        known.run(60_000);
        observed.run(60_000);

        assertTrue(
                observed.inTimeShare() >= 0.9 * known.inTimeShare(),
                "in time: " + observed.inTimeShare() + ", with known speeds " + known.inTimeShare());
    }

    /** Failure: a target that is avoided for ever is never seen to have recovered. */
    @Test
    void slowAndFailingTargetsStillReceiveCalls() {
        SimulatedTargets simulated = uneven(false);
        simulated.run(30_000);
        for (int window = 0; window < 2; window++) {
            simulated.targets.forEach(target -> target.receivedCount = 0);
            simulated.run(simulated.nowMillis + 20_000);
            simulated.targets.forEach(target -> assertTrue(target.receivedCount > 0, target.listed.id()));
        }
    }

    @Test
    void recoveredTargetsReceiveTheirShareAgain() {
        SimulatedTargets simulated = uneven(false);
        simulated.run(20_000);
        simulated.targets.forEach(target -> target.timeRatio = 1);
        simulated.targets.get(TARGETS_COUNT - 1).isFailing = false;
        simulated.run(40_000);

        simulated.targets.forEach(target -> target.receivedCount = 0);
        simulated.run(60_000);

        assertEvenlyCalled(simulated, simulated.targets, 0.5);
    }

    /** Failure: the service becomes slow, and targets are left out one after the other although none is better. */
    @Test
    void noTargetIsLeftOutWhenAllBecomeSlow() {
        SimulatedTargets simulated = new SimulatedTargets(TARGETS_COUNT, 1.5, false);
        simulated.run(20_000);
        simulated.targets.forEach(target -> {
            target.timeRatio = 4;
            target.receivedCount = 0;
        });

        simulated.run(40_000);

        assertEvenlyCalled(simulated, simulated.targets, 0.5);
    }

    /** Deployments of equal targets are served as if nothing was observed. */
    @Test
    void equalTargetsNeverStandOut() {
        SimulatedTargets simulated = new SimulatedTargets(TARGETS_COUNT, 7, false);
        for (int second = 1; second <= 30; second++) {
            simulated.run(second * 1_000L);
            simulated.instances.forEach(instance -> simulated.targets.forEach(target ->
                    assertEquals(TargetStanding.EQUAL, instance.standing(target.listed, simulated.nowMillis))));
        }
    }

    /** Slowness of half a second is over before calls are sent elsewhere. */
    @Test
    void briefSlownessIsNotFollowed() {
        SimulatedTargets simulated = new SimulatedTargets(TARGETS_COUNT, 4, false);
        simulated.run(20_000);
        simulated.targets.get(0).timeRatio = 2.5;
        simulated.run(20_600);
        simulated.targets.get(0).timeRatio = 1;
        simulated.targets.get(0).receivedCount = 0;
        simulated.run(24_000);

        assertTrue(simulated.targets.get(0).receivedCount >= 7, "received " + simulated.targets.get(0).receivedCount);
    }

    private static void assertEvenlyCalled(
            SimulatedTargets simulated, List<SimulatedTargets.SimulatedTarget> targets, double minRatio) {
        double mean = targets.stream()
                .mapToInt(target -> target.receivedCount)
                .average()
                .orElseThrow();
        targets.forEach(target -> assertTrue(
                target.receivedCount >= minRatio * mean,
                target.listed.id() + " received " + target.receivedCount + ", mean " + mean + ", in time "
                        + simulated.inTimeShare()));
    }
}
