package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetPerformance;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.junit.jupiter.api.Test;

/** Load: many instances, each of which rarely calls a given target. */
class PerformanceSharingTest {

    private final List<TargetPerformance> performances = new ArrayList<>();
    private final List<ForwardingMetrics> metrics = new ArrayList<>();
    private final Map<Integer, Incarnation> listedByInstance = new HashMap<>();
    private SimulatedFleet fleet;

    private static Incarnation target(long startedMillis) {
        return new Incarnation("t1", "s", "10.0.0.1", 80, "dc0", 6, false, Stage.WHOLE, 0, startedMillis);
    }

    private void start(int count) {
        fleet = new SimulatedFleet(count, 3, 5);
        for (int i = 0; i < count; i++) {
            int index = i;
            TargetPerformance performance = new TargetPerformance(_service -> 4);
            ForwardingMetrics instanceMetrics = new ForwardingMetrics(new PrometheusRegistry());
            performances.add(performance);
            metrics.add(instanceMetrics);
            new PerformanceSharing(
                            performance,
                            fleet.members.get(i).exchange,
                            () -> List.of(listed(index)),
                            _id -> Optional.of(listed(index)),
                            () -> count,
                            instanceMetrics,
                            fleet.time)
                    .start();
        }
        fleet.time.advanceMillis(3_000);
    }

    private Incarnation listed(int instance) {
        return listedByInstance.getOrDefault(instance, target(7));
    }

    private boolean isFailingAt(int instance) {
        return performances
                        .get(instance)
                        .standing(target(7), fleet.time.monotonicMillis())
                        .failureShare()
                > 0;
    }

    /** Failure: each of 48 instances loses calls to the same failing target before it avoids that. */
    @Test
    void failuresAtTwoInstancesReachAll() {
        start(48);
        listedByInstance.put(5, target(8));

        performances.get(0).recordFailure(target(7), true, fleet.time.monotonicMillis());
        performances.get(1).recordFailure(target(7), true, fleet.time.monotonicMillis());
        fleet.time.advanceMillis(1_000);

        for (int i = 0; i < performances.size(); i++) {
            assertEquals(i != 5, isFailingAt(i), "instance " + i);
            // An observation that several relays forward counts once.
            assertTrue(performances.get(i).weight("t1", fleet.time.monotonicMillis()) < 2);
        }
        assertTrue(metrics.get(9).text().contains("dogwoodwinch_targets_failing 1.0"));
    }

    @Test
    void failuresExpireAtAllInstances() {
        start(6);
        performances.get(0).recordFailure(target(7), true, fleet.time.monotonicMillis());
        performances.get(1).recordFailure(target(7), true, fleet.time.monotonicMillis());

        fleet.time.advanceMillis(30_000);

        for (int i = 0; i < performances.size(); i++) {
            assertFalse(isFailingAt(i), "instance " + i);
            assertEquals(0, performances.get(i).weight("t1", fleet.time.monotonicMillis()));
        }
    }

    /** Load: failing calls all over the fleet; messages must not grow with them. */
    @Test
    void messagesDoNotGrowWithCalls() {
        start(48);
        long idleBytes = bytesOfTenSeconds(0);
        long bytes = bytesOfTenSeconds(20);

        // 40 reports a second and one more of each instance reach all others, with some 60 bytes each.
        assertTrue(bytes - idleBytes < 48 * (10 * 40 + 48) * 70, (bytes - idleBytes) + " bytes for reports in 10 s");
    }

    private long bytesOfTenSeconds(int failuresPerRound) {
        long before = fleet.messageBytes;
        for (int i = 0; i < 100; i++) {
            for (int j = 0; j < failuresPerRound; j++) {
                performances.forEach(each -> each.recordFailure(target(7), true, fleet.time.monotonicMillis()));
            }
            fleet.time.advanceMillis(100);
        }
        return fleet.messageBytes - before;
    }
}
