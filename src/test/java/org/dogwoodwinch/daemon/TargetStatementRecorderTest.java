package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.NoRateLimits;
import org.dogwoodwinch.forwarding.NoRests;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.junit.jupiter.api.Test;

/** Load: one of many instances gets the answer of a target that states that it is leaving. */
class TargetStatementRecorderTest {

    private static final long STARTED_MILLIS = 7;

    /** Half of the shortest time within which a target that leaves may get calls. */
    private static final long KNOWN_TO_ALL_MILLIS = 1_000;

    private static final int MAX_BYTES_PER_INSTANCE = 400;

    private final List<TargetDirectory> directories = new ArrayList<>();
    private final List<TargetStatementRecorder> recorders = new ArrayList<>();
    private final List<String> closedIdle = new ArrayList<>();
    private SimulatedFleet fleet;

    @Test
    void leavingTargetIsKnownToAllInstancesOfSmallAndLargeFleets() {
        for (int count : new int[] {6, 9, 72, 90}) {
            start(count);

            recorders.get(count / 2).recordLeaving("t1", STARTED_MILLIS);
            fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

            directories.forEach(directory -> assertEquals(0, directory.readyCount(), count + " instances"));
            assertEquals(count, closedIdle.size(), "instances that close their idle connections");
            long sentBytes = fleet.members.stream()
                    .mapToLong(member -> member.sentBytesByTopic.getOrDefault(PeerTopic.TARGET_LEAVES, 0L))
                    .sum();
            assertTrue(sentBytes < (long) count * MAX_BYTES_PER_INSTANCE, sentBytes + " bytes, " + count);
        }
    }

    @Test
    void entryThatIsOlderThanPeersUpdateDoesNotUndoIt() {
        start(6);
        recorders.get(0).recordLeaving("t1", STARTED_MILLIS);
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        directories.forEach(directory -> directory.apply("t1", 2, Optional.of(target(STARTED_MILLIS))));
        directories.forEach(directory -> assertEquals(0, directory.readyCount()));

        directories.forEach(directory -> directory.apply("t1", 3, Optional.of(target(STARTED_MILLIS + 1))));
        directories.forEach(directory -> assertEquals(1, directory.readyCount()));
    }

    @Test
    void updateBeforeFirstEntryKeepsTargetFromStartingInstance() {
        start(6);
        directories.forEach(directory -> directory.apply("t2", 2, Optional.empty()));
        recorders.get(0).recordLeaving("t2", STARTED_MILLIS);
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);

        Incarnation listed =
                new Incarnation("t2", "s", "10.0.0.2", 80, "dc0", 6, false, Stage.WHOLE, 0, STARTED_MILLIS);
        directories.forEach(directory -> directory.apply("t2", 3, Optional.of(listed)));

        directories.forEach(directory -> assertEquals(1, directory.readyCount()));
    }

    private void start(int instanceCount) {
        directories.clear();
        recorders.clear();
        closedIdle.clear();
        fleet = new SimulatedFleet(instanceCount, 3, 5);
        for (SimulatedFleet.Member member : fleet.members) {
            TargetDirectory directory =
                    new TargetDirectory(new TargetHealth(() -> 0), NoRateLimits.create(), NoRests.create());
            directory.apply("t1", 1, Optional.of(target(STARTED_MILLIS)));
            TargetStatementRecorder recorder = new TargetStatementRecorder(
                    member.exchange,
                    directory,
                    NoRests.create(),
                    new ForwardingMetrics(new PrometheusRegistry()),
                    closedIdle::add);
            recorder.start();
            directories.add(directory);
            recorders.add(recorder);
        }
        fleet.time.advanceMillis(2_000);
    }

    private static Incarnation target(long startedMillis) {
        return new Incarnation("t1", "s", "10.0.0.1", 80, "dc0", 6, false, Stage.WHOLE, 0, startedMillis);
    }
}
