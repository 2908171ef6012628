package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.RateLimitShares;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.junit.jupiter.api.Test;

/** Load: many instances prefer the same target, which reports a rate limit for all of them together. */
class LimitSharingTest {

    private static final long STARTED_MILLIS = 7;
    private static final Incarnation TARGET =
            new Incarnation("t1", "reader", "10.0.0.1", 80, "dc0", 64, false, Stage.DECODE, 1, STARTED_MILLIS);
    private static final long CALL_INTERVAL_MILLIS = 10;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long SETTLE_MILLIS = 3_000;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
    private final List<Instance> instances = new ArrayList<>();
    private final List<Long> arrivalTimesMillis = new ArrayList<>();
    private final Map<String, Long> startedMillisByInstance = new HashMap<>();
    private SimulatedFleet fleet;
    private OptionalDouble limit = OptionalDouble.empty();

    @Test
    void limitReachesLargeFleetBeforeEnforcement() {
        start(48);
        limit = OptionalDouble.of(2);

        instances.get(0).sendCall();
        fleet.time.advanceMillis(SETTLE_MILLIS / 3);

        instances.forEach(each -> assertTrue(each.limits.isRateLimited("t1"), each.member.name));
        assertEquals(
                2,
                instances.stream().filter(Instance::hasShare).count(),
                "instances with a share of two calls per second");
    }

    @Test
    void totalRateStaysWithinLimit() {
        for (double limitPerSecond : new double[] {0.3, 1.6, 2.3, 7.5, 40}) {
            instances.clear();
            arrivalTimesMillis.clear();
            start(48);
            limit = OptionalDouble.of(limitPerSecond);

            simulate(12_000);

            assertWithinLimit();
            long settledCount = arrivalTimesMillis.stream()
                    .filter(arrivalMillis -> arrivalMillis > arrivalTimesMillis.get(0) + SETTLE_MILLIS)
                    .count();
            assertTrue(
                    settledCount + 1 >= 0.8 * limitPerSecond * 9,
                    settledCount + " calls in 9 s, limit " + limitPerSecond + " per second");
        }
    }

    /** Any instance may be isolated: one that knows no others assumes that it has a share of the limit. */
    @Test
    void isolatedInstanceDoesNotBreakLimit() {
        for (double limitPerSecond : new double[] {0.3, 1.6, 2.3, 7.5, 40}) {
            instances.clear();
            arrivalTimesMillis.clear();
            start(9);
            instances.get(4).knownInstances = Optional.of(Set.of("i4"));
            limit = OptionalDouble.of(limitPerSecond);

            simulate(12_000);

            assertWithinLimit();
        }
    }

    /** A share holder that is stopped gives up its share at once, and its successor knows so before it uses its own. */
    @Test
    void totalRateStaysWithinLimitWhenShareHoldersChange() {
        start(9);
        limit = OptionalDouble.of(2.3);
        simulate(5_000);
        Instance holder =
                instances.stream().filter(Instance::hasShare).findFirst().orElseThrow();

        holder.knownInstances = Optional.empty();
        Set<String> remaining = memberNames();
        remaining.remove(holder.member.name);
        for (Instance other : instances) {
            simulate(100);
            if (other != holder) {
                other.knownInstances = Optional.of(remaining);
            }
        }
        simulate(6_000);
        assertEquals(2, instances.stream().filter(Instance::hasShare).count());
        holder.knownInstances = Optional.of(memberNames());
        for (Instance other : instances) {
            simulate(100);
            other.knownInstances = Optional.of(memberNames());
        }
        simulate(6_000);

        assertWithinLimit();
    }

    @Test
    void removedLimitIsClearedAtAllInstances() {
        start(9);
        limit = OptionalDouble.of(2);
        simulate(5_000);

        limit = OptionalDouble.empty();
        simulate(3_000);

        instances.forEach(each -> assertFalse(each.limits.isRateLimited("t1"), each.member.name));
    }

    /** An instance that receives nothing for a moment misses the removal of the limit, which nobody repeats. */
    @Test
    void limitExpiresAtInstanceThatMissedItsRemoval() {
        start(9);
        limit = OptionalDouble.of(2);
        simulate(5_000);
        Instance disconnected =
                instances.stream().filter(each -> !each.hasShare()).findFirst().orElseThrow();

        disconnected.member.dropsReceived = true;
        limit = OptionalDouble.empty();
        simulate(3_000);
        disconnected.member.dropsReceived = false;
        assertTrue(disconnected.limits.isRateLimited("t1"));
        fleet.time.advanceMillis(12_000);

        assertFalse(disconnected.limits.isRateLimited("t1"));
    }

    /** Instances that have a share of the limit keep sending it to the others while the target receives no calls. */
    @Test
    void limitOfIdleTargetIsRetained() {
        start(9);
        limit = OptionalDouble.of(2);
        simulate(3_000);

        fleet.time.advanceMillis(60_000);

        instances.forEach(each -> assertTrue(each.limits.isRateLimited("t1"), each.member.name));
    }

    @Test
    void limitOfEarlierIncarnationIsIgnored() {
        start(9);
        startedMillisByInstance.put("i1", STARTED_MILLIS + 1);
        limit = OptionalDouble.of(2);

        instances.get(0).sendCall();
        fleet.time.advanceMillis(1_000);

        assertFalse(instances.get(1).limits.isRateLimited("t1"));
        assertTrue(instances.get(2).limits.isRateLimited("t1"));
    }

    private void start(int count) {
        fleet = new SimulatedFleet(count, 3, 5);
        fleet.members.forEach(member -> instances.add(new Instance(member)));
        fleet.time.advanceMillis(3_000);
    }

    private Set<String> memberNames() {
        return fleet.members.stream().map(member -> member.name).collect(Collectors.toSet());
    }

    private void simulate(long durationMillis) {
        for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += CALL_INTERVAL_MILLIS) {
            instances.get(random.nextInt(instances.size())).sendCall();
            fleet.time.advanceMillis(CALL_INTERVAL_MILLIS);
        }
    }

    private void assertWithinLimit() {
        double allowed = 1.5 * limit.getAsDouble() * WINDOW_MILLIS / 1_000 + 5;
        long enforcedFromMillis = arrivalTimesMillis.get(0) + SETTLE_MILLIS;
        for (long windowStartMillis : arrivalTimesMillis) {
            long count = arrivalTimesMillis.stream()
                    .filter(arrivalMillis ->
                            arrivalMillis >= windowStartMillis && arrivalMillis < windowStartMillis + WINDOW_MILLIS)
                    .count();
            assertTrue(
                    windowStartMillis < enforcedFromMillis || count <= allowed,
                    count + " calls in a window, at most " + allowed + " allowed");
        }
    }

    private final class Instance {

        private final SimulatedFleet.Member member;
        private final TargetRateLimits limits;
        private final RateLimitShares shares;
        private final LimitSharing sharing;
        private Optional<Set<String>> knownInstances = Optional.of(memberNames());

        Instance(SimulatedFleet.Member member) {
            this.member = member;
            this.shares = new RateLimitShares(member.name, () -> knownInstances, fleet.time::monotonicMillis);
            this.limits = new TargetRateLimits(fleet.time::monotonicMillis, shares);
            this.sharing = new LimitSharing(
                    member.exchange,
                    limits,
                    shares,
                    _id -> startedMillisByInstance.getOrDefault(member.name, STARTED_MILLIS),
                    fleet.time);
            sharing.start();
        }

        boolean hasShare() {
            return limit.isPresent() && shares.sharePerSecond("t1", limit.getAsDouble()) > 0;
        }

        /** Calls the target if the limit permits it; the response arrives after 5 ms. */
        void sendCall() {
            if (limits.tryTake("t1")) {
                long sentMillis = fleet.time.monotonicMillis();
                arrivalTimesMillis.add(sentMillis);
                OptionalDouble reportedLimit = limit;
                fleet.time.schedule(5, () -> sharing.recordResponse(TARGET, reportedLimit, sentMillis));
            }
        }
    }
}
