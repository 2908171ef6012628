package org.dogwoodwinch.peer;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Stops the instances of a data centre one after the other while links fill up and the store may be silent. */
class RelaySuccessionTest {

    private static final long SAMPLE_MILLIS = 10;
    private static final long STOP_INTERVAL_MILLIS = 1_000;
    private static final long STOP_DURATION_MILLIS = 2_500;
    private static final long RESTART_DELAY_MILLIS = 400;
    private static final long SETTLE_MILLIS = 5_000;
    private static final int STATE_BYTES = 20_000;

    /** The relay that hands its role over, and its successor. */
    private static final long MAX_ACTING_RELAYS = 2;

    /** The time until a silent relay counts as failed, and that of two successors that failed with it. */
    private static final long MAX_WITHOUT_RELAY_MILLIS = 12 * FillingLinksFleet.ROUND_MILLIS;

    private static final long RELAY_TIMEOUT_ROUNDS = 7;
    private static final long STAGGER_ROUNDS = 2;
    private static final String DATA_CENTRE = "dc0";

    private long maxActing;
    private long withoutRelayMillis;
    private long maxWithoutRelayMillis;
    private int leavingBecameRelayCount;

    /** Guards against ten relays at once, whose messages fill the links, while instances stop during a store outage. */
    @ParameterizedTest
    @CsvSource({"1,6,0", "1,14,2", "1,22,2", "4,16,2"})
    void stopsInSeriesLeaveOneRelay(int dataCentreCount, int nodesPerDataCentre, int wideCount) {
        for (boolean storeSilent : new boolean[] {false, true}) {
            FillingLinksFleet fleet =
                    new FillingLinksFleet(dataCentreCount, nodesPerDataCentre, wideCount, STATE_BYTES);
            fleet.time.advanceMillis(SETTLE_MILLIS);
            fleet.setStoreSilent(storeSilent);
            List<FillingLinksFleet.Node> nodes = fleet.inDataCentre(DATA_CENTRE);
            for (int i = 0; i < nodes.size(); i++) {
                // Those with wide links, which come first in the order, stop first.
                FillingLinksFleet.Node node = nodes.get(nodes.size() - 1 - i);
                fleet.time.schedule(i * STOP_INTERVAL_MILLIS, () -> stop(fleet, node));
            }
            sample(fleet, nodes, nodes.size() * STOP_INTERVAL_MILLIS + SETTLE_MILLIS);

            String run = "store silent " + storeSilent;
            boolean usesRelays = dataCentreCount * nodesPerDataCentre > 6;
            assertAll(
                    run,
                    () -> assertTrue(maxActing <= MAX_ACTING_RELAYS, "acting relays " + maxActing),
                    () -> assertTrue(
                            !usesRelays || maxWithoutRelayMillis <= MAX_WITHOUT_RELAY_MILLIS,
                            "ms without relay " + maxWithoutRelayMillis),
                    () -> assertEquals(0, leavingBecameRelayCount, "leaving instances that became relay"));
        }
    }

    /** Guards against a take-over by all others at once when the first instances in order fail together. */
    @ParameterizedTest
    @CsvSource({"1", "3", "5"})
    void firstInOrderThatFailTogetherLeaveOneRelay(int failedCount) {
        FillingLinksFleet fleet = new FillingLinksFleet(4, 16, 2, STATE_BYTES);
        fleet.time.advanceMillis(SETTLE_MILLIS);
        fleet.setStoreSilent(true);
        List<FillingLinksFleet.Node> nodes = fleet.inDataCentre(DATA_CENTRE);
        fleet.inOrder(DATA_CENTRE).subList(0, failedCount).forEach(FillingLinksFleet.Node::end);
        sample(fleet, nodes, 2 * SETTLE_MILLIS);

        long maxRounds = RELAY_TIMEOUT_ROUNDS + (failedCount - 1) * STAGGER_ROUNDS;
        assertTrue(maxActing <= MAX_ACTING_RELAYS, "acting relays " + maxActing);
        assertTrue(
                maxWithoutRelayMillis <= maxRounds * FillingLinksFleet.ROUND_MILLIS,
                "ms without relay " + maxWithoutRelayMillis);
    }

    private static void stop(FillingLinksFleet fleet, FillingLinksFleet.Node node) {
        node.leave();
        fleet.time.schedule(STOP_DURATION_MILLIS, () -> {
            node.end();
            fleet.time.schedule(RESTART_DELAY_MILLIS, node::start);
        });
    }

    private void sample(FillingLinksFleet fleet, List<FillingLinksFleet.Node> nodes, long durationMillis) {
        List<FillingLinksFleet.Node> actingBefore = actingRelays(nodes);
        for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += SAMPLE_MILLIS) {
            fleet.time.advanceMillis(SAMPLE_MILLIS);
            List<FillingLinksFleet.Node> acting = actingRelays(nodes);
            maxActing = Math.max(maxActing, acting.size());
            withoutRelayMillis = acting.isEmpty() ? withoutRelayMillis + SAMPLE_MILLIS : 0;
            maxWithoutRelayMillis = Math.max(maxWithoutRelayMillis, withoutRelayMillis);
            for (FillingLinksFleet.Node node : acting) {
                if (node.isLeaving && !actingBefore.contains(node)) {
                    leavingBecameRelayCount++;
                }
            }
            actingBefore = acting;
        }
    }

    private static List<FillingLinksFleet.Node> actingRelays(List<FillingLinksFleet.Node> nodes) {
        return nodes.stream().filter(FillingLinksFleet.Node::actsAsRelay).toList();
    }
}
