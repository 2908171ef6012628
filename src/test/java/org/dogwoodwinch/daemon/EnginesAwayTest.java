package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.junit.jupiter.api.Test;

class EnginesAwayTest {

    private static final long STARTED_MILLIS = 7;

    private final SimulatedFleet fleet = new SimulatedFleet(6, 3, 5);
    private final List<TargetHealth> healths = new ArrayList<>();
    private final List<EnginesAway> enginesAway = new ArrayList<>();
    private final Map<String, Long> startedMillisByInstance = new HashMap<>();

    EnginesAwayTest() {
        for (SimulatedFleet.Member member : fleet.members) {
            TargetHealth health = new TargetHealth(fleet.time::monotonicMillis);
            healths.add(health);
            EnginesAway sharing = new EnginesAway(
                    member.exchange, health, _id -> startedMillisByInstance.getOrDefault(member.name, STARTED_MILLIS));
            sharing.start();
            enginesAway.add(sharing);
        }
        fleet.time.advanceMillis(1_000);
    }

    @Test
    void allInstancesAvoidEngineDuringStageChange() {
        enginesAway.get(0).publish("e1", 15_000);
        fleet.time.advanceMillis(500);
        healths.forEach(health -> assertTrue(health.isChangingStage("e1")));

        enginesAway.get(0).publish("e1", 0);
        fleet.time.advanceMillis(500);
        healths.forEach(health -> assertFalse(health.isChangingStage("e1")));
    }

    /**
     * An engine that crashed during a stage change and restarted under its id must not stay unused because of an
     * earlier notice.
     */
    @Test
    void noticeAboutEarlierIncarnationIsIgnored() {
        startedMillisByInstance.put("i1", STARTED_MILLIS + 1);

        enginesAway.get(0).publish("e1", 15_000);
        fleet.time.advanceMillis(500);

        assertFalse(healths.get(1).isChangingStage("e1"));
        assertTrue(healths.get(2).isChangingStage("e1"));
    }
}
