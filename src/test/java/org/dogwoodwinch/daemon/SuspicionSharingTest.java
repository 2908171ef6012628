package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.peer.SuspicionExchange;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.SuspectRegistry;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SuspicionSharingTest {

    private static final long CRASHING = 7;

    /** A third of the time after the third crash from which the request may hardly be sent any more. */
    private static final long KNOWN_TO_ALL_MILLIS = 1_000;

    private final List<SuspectRegistry> registries = new ArrayList<>();

    private void start(SimulatedFleet fleet) {
        for (SimulatedFleet.Member member : fleet.members) {
            SuspicionExchange exchange = new SuspicionExchange(member.exchange);
            SuspectRegistry registry = new SuspectRegistry(fleet.time, 600_000, 600_000, exchange);
            exchange.subscribe(registry);
            registries.add(registry);
        }
        fleet.time.advanceMillis(3_000);
    }

    /** Guards against a request that ends targets at instances that have not heard of the earlier crashes. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void requestThatEndedTargetsOfThreeInstancesIsQuarantinedByAll(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        for (int i = 0; i < 3; i++) {
            registries.get(i).onCrash(CRASHING, "attempt-" + i, "t" + i);
            fleet.time.advanceMillis(500);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        for (SuspectRegistry registry : registries) {
            assertEquals(Quarantine.Status.QUARANTINED, registry.statusOf(CRASHING));
        }
    }

    /** Guards against a quarantine that is lost where two crashes of one call are found in the same moment. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void quarantineIsToldThoughAWeakerCrashFollowsAtOnce(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        SuspectRegistry seeing = registries.get(count / 2);
        seeing.onCrash(CRASHING, "a", "t0");
        fleet.time.advanceMillis(500);
        seeing.onTrialStarted(CRASHING, "b", "t1");
        seeing.onTrialStarted(CRASHING, "b", "t2");
        seeing.onCrash(CRASHING, "b", "t1");
        seeing.onCrash(CRASHING, "b", "t3");
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        for (SuspectRegistry registry : registries) {
            assertEquals(Quarantine.Status.QUARANTINED, registry.statusOf(CRASHING));
        }
    }
}
