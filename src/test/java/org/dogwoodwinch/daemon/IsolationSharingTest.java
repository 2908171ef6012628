package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.dogwoodwinch.peer.PeerTopic;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load: half of a fleet is cut off from all targets at once. */
class IsolationSharingTest {

    private static final int DATA_CENTRES = 3;
    private static final int ENGINES = 40;

    /** A third of the time after which callers of an instance that is cut off must be served. */
    private static final long KNOWN_TO_ALL_MILLIS = 1_000;

    private static final long CUT_MILLIS = 12_000;
    private static final long MAX_BYTES_PER_INSTANCE_AND_SECOND = 7_000;

    private final List<IsolationSharing> sharings = new ArrayList<>();
    private final List<String> heard = new ArrayList<>();
    private SimulatedFleet fleet;

    private void start(int count) {
        fleet = new SimulatedFleet(count, DATA_CENTRES, 5);
        for (SimulatedFleet.Member member : fleet.members) {
            IsolationSharing sharing = new IsolationSharing(member.name, member.exchange, fleet.time, heard::add);
            sharing.start();
            sharings.add(sharing);
        }
        fleet.time.advanceMillis(3_000);
    }

    /** Guards against calls that are passed on to instances that are cut off, and engines that nobody watches. */
    @ParameterizedTest
    @ValueSource(ints = {6, 48, 90})
    void allInstancesKnowWhichAreCutOff(int count) {
        start(count);
        Set<String> cut = new HashSet<>();
        for (int i = 0; i < count / 2; i++) {
            cut.add(fleet.members.get(i).name);
            sharings.get(i).set(true);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);
        assertAllKnow(cut);
        assertEquals((count / 2) * (count - 1), heard.size());
        assertEachEngineIsWatchedByOneThatReachesIt(cut);

        fleet.time.advanceMillis(CUT_MILLIS);
        assertAllKnow(cut);
        long bytes = fleet.members.stream()
                .mapToLong(member -> member.sentBytesByTopic.getOrDefault(PeerTopic.TARGETS_CUT_OFF, 0L))
                .sum();
        long bound = MAX_BYTES_PER_INSTANCE_AND_SECOND * count * (KNOWN_TO_ALL_MILLIS + CUT_MILLIS) / 1_000;
        assertTrue(bytes < bound, () -> bytes + " bytes of " + bound);

        for (int i = 0; i < count / 2; i++) {
            sharings.get(i).set(false);
        }
        fleet.time.advanceMillis(KNOWN_TO_ALL_MILLIS);
        assertAllKnow(Set.of());
    }

    private void assertAllKnow(Set<String> cut) {
        for (int i = 0; i < sharings.size(); i++) {
            Set<String> others = new HashSet<>(cut);
            others.remove(fleet.members.get(i).name);
            assertEquals(others, sharings.get(i).isolatedNames(), fleet.members.get(i).name);
        }
    }

    private void assertEachEngineIsWatchedByOneThatReachesIt(Set<String> cut) {
        for (int engine = 0; engine < ENGINES; engine++) {
            String id = "e" + engine;
            Set<String> watchingDataCentres = new HashSet<>();
            for (SimulatedFleet.Member member : fleet.members) {
                boolean dataCentreReaches = fleet.members.stream()
                        .anyMatch(each -> each.dataCentre.equals(member.dataCentre) && !cut.contains(each.name));
                if (dataCentreReaches && member.exchange.isAssignedToSelf(id)) {
                    assertTrue(!cut.contains(member.name), member.name);
                    assertTrue(watchingDataCentres.add(member.dataCentre), "two watch " + id);
                }
            }
        }
    }
}
