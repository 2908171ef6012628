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

/** Load: many instances that would all rather call one target, which names a limit for all of them together. */
class LimitSharingTest {

    private static final long BORN_MILLIS = 7;
    private static final Incarnation TARGET =
            new Incarnation("t1", "reader", "10.0.0.1", 80, "dc0", 64, false, Stage.DECODE, 1, BORN_MILLIS);
    private static final long CALL_GAP_MILLIS = 10;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long STABLE_MILLIS = 3_000;

    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
    private final List<Instance> instances = new ArrayList<>();
    private final List<Long> arrivalsMillis = new ArrayList<>();
    private final Map<String, Long> bornMillis = new HashMap<>();
    private RelayFleet fleet;
    private OptionalDouble limit = OptionalDouble.empty();

    @Test
    void allInstancesOfALargeFleetKnowALimitBeforeTheyAreHeldToIt() {
        start(48);
        limit = OptionalDouble.of(2);

        instances.get(0).call();
        fleet.time.advanceMillis(STABLE_MILLIS / 3);

        instances.forEach(each -> assertTrue(each.limits.isRateLimited("t1"), each.member.name));
        assertEquals(2, instances.stream().filter(Instance::hasShare).count(), "of two calls a second for all");
    }

    @Test
    void theSumOfAllStaysWithinTheLimit() {
        for (double each : new double[] {0.3, 1.6, 2.3, 7.5, 40}) {
            instances.clear();
            arrivalsMillis.clear();
            start(48);
            limit = OptionalDouble.of(each);

            play(12_000);

            assertWithin();
            long inTime = arrivalsMillis.stream()
                    .filter(at -> at > arrivalsMillis.get(0) + STABLE_MILLIS)
                    .count();
            assertTrue(inTime + 1 >= 0.8 * each * 9, inTime + " calls in 9 s though " + each + " a second are taken");
        }
    }

    /** Whichever one it is: an instance that has not heard of the others takes itself for a holder. */
    @Test
    void oneInstanceThatSeesNobodyDoesNotBreakTheBound() {
        for (double each : new double[] {0.3, 1.6, 2.3, 7.5, 40}) {
            instances.clear();
            arrivalsMillis.clear();
            start(9);
            instances.get(4).countsOn = Optional.of(Set.of("i4"));
            limit = OptionalDouble.of(each);

            play(12_000);

            assertWithin();
        }
    }

    /** A planned stop of a holder: it gives up at once, the one that follows has heard so before it begins. */
    @Test
    void theSumStaysWithinTheLimitWhileHoldersComeAndGo() {
        start(9);
        limit = OptionalDouble.of(2.3);
        play(5_000);
        Instance holder =
                instances.stream().filter(Instance::hasShare).findFirst().orElseThrow();

        holder.countsOn = Optional.empty();
        Set<String> left = names();
        left.remove(holder.member.name);
        for (Instance other : instances) {
            play(100);
            if (other != holder) {
                other.countsOn = Optional.of(left);
            }
        }
        play(6_000);
        assertEquals(2, instances.stream().filter(Instance::hasShare).count());
        holder.countsOn = Optional.of(names());
        for (Instance other : instances) {
            play(100);
            other.countsOn = Optional.of(names());
        }
        play(6_000);

        assertWithin();
    }

    @Test
    void theEndOfALimitReachesAll() {
        start(9);
        limit = OptionalDouble.of(2);
        play(5_000);

        limit = OptionalDouble.empty();
        play(3_000);

        instances.forEach(each -> assertFalse(each.limits.isRateLimited("t1"), each.member.name));
    }

    /** An instance that hears nothing for a moment misses the end, and nobody repeats to it what is over. */
    @Test
    void anInstanceThatMissedTheEndForgetsTheLimit() {
        start(9);
        limit = OptionalDouble.of(2);
        play(5_000);
        Instance deaf =
                instances.stream().filter(each -> !each.hasShare()).findFirst().orElseThrow();

        deaf.member.deaf = true;
        limit = OptionalDouble.empty();
        play(3_000);
        deaf.member.deaf = false;
        assertTrue(deaf.limits.isRateLimited("t1"));
        fleet.time.advanceMillis(12_000);

        assertFalse(deaf.limits.isRateLimited("t1"));
    }

    /** While nobody calls the target, those who have a share of its limit keep the others informed. */
    @Test
    void aLimitOfATargetThatNobodyCallsIsNotForgotten() {
        start(9);
        limit = OptionalDouble.of(2);
        play(3_000);

        fleet.time.advanceMillis(60_000);

        instances.forEach(each -> assertTrue(each.limits.isRateLimited("t1"), each.member.name));
    }

    @Test
    void aWordAboutAnEarlierStartLimitsNothing() {
        start(9);
        bornMillis.put("i1", BORN_MILLIS + 1);
        limit = OptionalDouble.of(2);

        instances.get(0).call();
        fleet.time.advanceMillis(1_000);

        assertFalse(instances.get(1).limits.isRateLimited("t1"));
        assertTrue(instances.get(2).limits.isRateLimited("t1"));
    }

    private void start(int count) {
        fleet = new RelayFleet(count, 3, 5);
        fleet.members.forEach(member -> instances.add(new Instance(member)));
        fleet.time.advanceMillis(3_000);
    }

    private Set<String> names() {
        return fleet.members.stream().map(member -> member.name).collect(Collectors.toSet());
    }

    private void play(long forMillis) {
        for (long played = 0; played < forMillis; played += CALL_GAP_MILLIS) {
            instances.get(random.nextInt(instances.size())).call();
            fleet.time.advanceMillis(CALL_GAP_MILLIS);
        }
    }

    private void assertWithin() {
        double allowed = 1.5 * limit.getAsDouble() * WINDOW_MILLIS / 1_000 + 5;
        long heldFromMillis = arrivalsMillis.get(0) + STABLE_MILLIS;
        for (long from : arrivalsMillis) {
            long count = arrivalsMillis.stream()
                    .filter(at -> at >= from && at < from + WINDOW_MILLIS)
                    .count();
            assertTrue(from < heldFromMillis || count <= allowed, count + " calls, allowed " + allowed);
        }
    }

    private final class Instance {

        private final RelayFleet.Member member;
        private final TargetRateLimits limits;
        private final RateLimitShares shares;
        private final LimitSharing sharing;
        private Optional<Set<String>> countsOn = Optional.of(names());

        Instance(RelayFleet.Member member) {
            this.member = member;
            this.shares = new RateLimitShares(member.name, () -> countsOn, fleet.time::monotonicMillis);
            this.limits = new TargetRateLimits(fleet.time::monotonicMillis, shares);
            this.sharing = new LimitSharing(
                    member.exchange,
                    limits,
                    shares,
                    _id -> bornMillis.getOrDefault(member.name, BORN_MILLIS),
                    fleet.time);
            sharing.start();
        }

        boolean hasShare() {
            return limit.isPresent() && shares.sharePerSecond("t1", limit.getAsDouble()) > 0;
        }

        /** Calls the target if it may; the answer comes at once. */
        void call() {
            if (limits.tryTake("t1")) {
                long sentMillis = fleet.time.monotonicMillis();
                arrivalsMillis.add(sentMillis);
                OptionalDouble named = limit;
                fleet.time.schedule(5, () -> sharing.answered(TARGET, named, sentMillis));
            }
        }
    }
}
