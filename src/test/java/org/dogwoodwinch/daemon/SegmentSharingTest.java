package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.forwarding.CrashCorrelator.LostCall;
import org.dogwoodwinch.forwarding.CrashingSegments;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.GuardedCall;
import org.dogwoodwinch.relay.SegmentGuard;
import org.dogwoodwinch.relay.SegmentRecords;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SegmentSharingTest {

    private static final SegmentId BAD = new SegmentId("m", "bad");
    private static final SegmentId SHARED = new SegmentId("m", "shared");

    /** A third of the time after the last crash from which calls with the segment may hardly be sent any more. */
    private static final long KNOWN_TO_ALL_MILLIS = 1_000;

    /** The time after a cut from which the instance counts as in touch again. */
    private static final long RELEARNED_MILLIS = 3_000;

    private final List<SegmentGuard> guards = new ArrayList<>();

    private void start(SimulatedFleet fleet) {
        for (SimulatedFleet.Member member : fleet.members) {
            guards.add(startGuard(fleet, member));
        }
        fleet.time.advanceMillis(3_000);
    }

    private static SegmentGuard startGuard(SimulatedFleet fleet, SimulatedFleet.Member member) {
        SegmentSharing sharing = new SegmentSharing(member.exchange);
        SegmentGuard guard = new SegmentGuard(
                new CrashingSegments(fleet.time::monotonicMillis),
                sharing,
                SegmentRecords.NONE,
                member.name,
                fleet.members::size,
                new ForwardingMetrics(new PrometheusRegistry()),
                fleet.time);
        sharing.start(guard);
        return guard;
    }

    private void crash(SimulatedFleet fleet, int instance, String targetStart) {
        LostCall call = new LostCall(1, "r", targetStart, fleet.time.monotonicMillis(), List.of(SHARED, BAD), false);
        GuardedCall.recordCrash(guards.get(instance), targetStart, List.of(call));
    }

    private void begin(SimulatedFleet fleet, int instance) {
        new GuardedCall(guards.get(instance), fleet.time, "b", List.of(SHARED)).recordBegin();
    }

    private long holdersOf(SegmentId segment) {
        return guards.stream()
                .filter(guard -> guard.listHeld().stream()
                        .anyMatch(held -> held.segment().equals(segment)))
                .count();
    }

    /** Guards against crashes that three instances see in the same moment, of which each instance hears the last alone. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void segmentIsHeldBackByAllAfterCrashesAtThreeInstancesAtOnce(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        for (int i = 0; i < 3; i++) {
            crash(fleet, i, "t" + i);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        assertEquals(count, holdersOf(BAD));
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void threeCrashesAtOneInstanceAreAllTold(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        for (int i = 0; i < 3; i++) {
            crash(fleet, count / 2, "t" + i);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        assertEquals(count, holdersOf(BAD));
    }

    /** Guards against a sound segment that stays held back where no call with it arrives. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void beginAtOneInstanceReleasesTheSegmentAtAll(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        for (int i = 0; i < 3; i++) {
            crash(fleet, i, "t" + i);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);
        begin(fleet, count - 1);
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        assertEquals(0, holdersOf(SHARED));
        assertEquals(count, holdersOf(BAD));
    }

    /** Guards against a rare sound segment that is held back because only instances without a crash saw it begin. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void segmentThatBeganAtAnotherInstanceIsNotHeldBackWithTheCause(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        begin(fleet, count - 1);
        fleet.time.advanceMillis(20_000);
        for (int i = 0; i < 3; i++) {
            crash(fleet, i, "t" + i);
            fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        assertEquals(0, holdersOf(SHARED));
        assertEquals(count, holdersOf(BAD));
    }

    /** Guards against an instance that was cut off from the others while they told of the crashes. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void instanceThatWasCutOffDuringTheCrashesLearnsOfThem(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        SimulatedFleet.Member cut = fleet.members.get(count - 1);
        cut.setIsolated(true);
        for (int i = 0; i < 3; i++) {
            crash(fleet, i, "t" + i);
        }
        fleet.time.advanceMillis(5_000);
        cut.setIsolated(false);
        fleet.time.advanceMillis(RELEARNED_MILLIS);

        assertEquals(count, holdersOf(BAD));
    }

    /** Guards against an instance that missed a begin and tells that a sound segment is held back. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48})
    void instanceThatMissedABeginHoldsTheSegmentBackNoLonger(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        for (int i = 0; i < 3; i++) {
            crash(fleet, i, "t" + i);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);
        SimulatedFleet.Member cut = fleet.members.get(count - 1);
        cut.setIsolated(true);
        begin(fleet, 0);
        fleet.time.advanceMillis(5_000);
        cut.setIsolated(false);
        fleet.time.advanceMillis(RELEARNED_MILLIS);

        assertEquals(0, holdersOf(SHARED));
        assertEquals(count, holdersOf(BAD));
    }

    /** Guards against a fleet whose instances all tell the same begin and fill narrow links. */
    @ParameterizedTest
    @ValueSource(ints = {48, 90})
    void fewInstancesTellOfASegmentThatAnswersBeginWithEverywhere(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        for (int i = 0; i < count; i++) {
            begin(fleet, i);
        }
        fleet.time.advanceMillis(1_000);
        for (int i = 0; i < 2; i++) {
            crash(fleet, 0, "t" + i);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);
        for (int round = 0; round < 100; round++) {
            for (int i = 1; i < count; i++) {
                begin(fleet, i);
            }
            fleet.time.advanceMillis(20);
        }
        long bytes = fleet.members.stream()
                .mapToLong(member -> member.sentBytesByTopic.getOrDefault(PeerTopic.CRASHING_SEGMENT, 0L))
                .sum();
        assertTrue(bytes / count < 20_000, "bytes for each instance: " + bytes / count);
    }

    /** Guards against an instance that starts without what the others know. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48})
    void instanceThatStartsIsTold(int count) {
        SimulatedFleet fleet = new SimulatedFleet(count, 3, 5);
        start(fleet);
        for (int i = 0; i < 3; i++) {
            crash(fleet, i, "t" + i);
        }
        fleet.time.advanceMillis(2_000);
        SimulatedFleet.Member started = fleet.members.get(count - 1);
        started.restart();
        guards.set(count - 1, startGuard(fleet, started));
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        assertEquals(count, holdersOf(BAD));
    }
}
