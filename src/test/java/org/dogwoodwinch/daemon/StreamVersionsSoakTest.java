package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Plays releases of the targets' software with crashes of targets, kills, freezes and cuts of instances, losses of power
 * of all or most instances, late views, and callers that take up broken streams at any instance, again and again. Each
 * further test adds one {@link SoakDisturbance}. Further seeds: {@code -Dsoak.seeds=50}; one size of the fleet:
 * {@code -Dsoak.instances=6}; the figures of all days: {@code -Dsoak.report=true}.
 */
class StreamVersionsSoakTest {

    private static final int DEFAULT_SEEDS = 3;
    private static final int[] INSTANCES_COUNTS = {6, 48, 90};

    @Test
    void noStreamIsJoinedFromTwoVersionsAndStreamsThatAreTakenUpGoOn() {
        play(Set.of());
    }

    @Test
    void noStreamIsJoinedWhenInstancesAreBackAfterRandomTimes() {
        play(Set.of(SoakDisturbance.RESTARTS_OF_RANDOM_LENGTH));
    }

    @Test
    void noStreamIsJoinedWhenAllInstancesButOneArePoweredOffAndPowerIsLostAgain() {
        play(Set.of(SoakDisturbance.SINGLE_SURVIVORS_AND_SECOND_LOSSES));
    }

    private static void play(Set<SoakDisturbance> disturbances) {
        int seeds = Integer.getInteger("soak.seeds", DEFAULT_SEEDS);
        int onlyInstancesCount = Integer.getInteger("soak.instances", 0);
        List<String> failures = new ArrayList<>();
        for (int instancesCount : INSTANCES_COUNTS) {
            for (int seed = 1; seed <= seeds; seed++) {
                if (onlyInstancesCount == 0 || onlyInstancesCount == instancesCount) {
                    failures.addAll(failuresOf(instancesCount, seed, disturbances));
                }
            }
        }
        assertEquals(List.of(), failures, () -> String.join("\n", failures));
    }

    private static List<String> failuresOf(int instancesCount, int seed, Set<SoakDisturbance> disturbances) {
        SoakResult result = new SoakDay(instancesCount, seed, disturbances).play();
        if (Boolean.getBoolean("soak.report")) {
            System.out.println(result.report());
        }
        return result.failures();
    }
}
