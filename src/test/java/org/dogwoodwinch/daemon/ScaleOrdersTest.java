package org.dogwoodwinch.daemon;

import static org.dogwoodwinch.daemon.ScaledPlatform.fixed;
import static org.dogwoodwinch.daemon.ScaledPlatform.spot;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.daemon.ScaledPlatform.Received;
import org.dogwoodwinch.scaling.EnginePool;
import org.dogwoodwinch.scaling.PoolOrders;
import org.dogwoodwinch.scaling.ScaleOrder;
import org.dogwoodwinch.scaling.ScalePlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Lets instances order engines at a platform that checks each order against its rules for holders. */
class ScaleOrdersTest {

    private static final String SERVICE = "s";
    private static final int SEED_COUNT = 200;

    /** More than the waiting time of a holder that has seen a record of another one. */
    private static final long TAKEOVER_MILLIS = 6_000;

    private static final Map<EnginePool, Integer> FIRST = Map.of(fixed("a"), 3, fixed("b"), 2, spot("b"), 4);
    private static final Map<EnginePool, Integer> SECOND = Map.of(fixed("a"), 1, fixed("b"), 5, spot("b"), 6);

    private ScaledPlatform platform = new ScaledPlatform(SERVICE);

    @AfterEach
    void platformHasSeenNoViolation() {
        assertEquals(List.of(), platform.violations);
    }

    private ScaledPlatform.Instance startHolder(String name, Map<EnginePool, Integer> wanted) {
        ScaledPlatform.Instance instance = platform.new Instance(name);
        instance.isAssigned = true;
        instance.wanted.put(SERVICE, new ScalePlan(wanted));
        return instance;
    }

    /** Starts a holder and lets it order its first plan. */
    private ScaledPlatform.Instance startedHolder() {
        ScaledPlatform.Instance holder = startHolder("i0", FIRST);
        platform.time.advanceMillis(10_000);
        assertEquals(FIRST, platform.desiredCounts(SERVICE));
        return holder;
    }

    private List<Received> receivedFrom(int index) {
        return platform.received.subList(index, platform.received.size());
    }

    @Test
    void planIsOrderedOnceAndThenNothingIsReadOrWritten() {
        startedHolder();
        assertEquals(
                List.of(spot("b"), fixed("a"), fixed("b")),
                platform.received.stream().map(each -> each.order().pool()).toList());
        assertEquals(1, platform.readsCount);
        assertEquals(1, platform.appendsCount);

        platform.time.advanceMillis(600_000);
        assertEquals(3, platform.received.size());
        assertEquals(1, platform.readsCount);
        assertEquals(1, platform.appendsCount);
    }

    @Test
    void onlyChangedPoolsAreOrderedAndReleasesWaitForSpotEngines() {
        ScaledPlatform.Instance holder = startedHolder();
        holder.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.time.advanceMillis(1_000);
        assertEquals(
                List.of(new ScaleOrder(SERVICE, spot("b"), 6), new ScaleOrder(SERVICE, fixed("b"), 5)),
                receivedFrom(3).stream().map(Received::order).toList());

        platform.time.advanceMillis(ScaledPlatform.BOOT_MILLIS);
        assertEquals(SECOND, platform.desiredCounts(SERVICE));
        assertEquals(6, platform.received.size());
    }

    /** Failure: an instance that has just started orders by what it does not know yet. */
    @Test
    void nothingIsOrderedBeforeInstanceIsPrepared() {
        ScaledPlatform.Instance holder = startHolder("i0", FIRST);
        holder.knowsTargets = false;
        platform.time.advanceMillis(10_000);
        holder.knowsTargets = true;
        platform.time.advanceMillis(ScaledPlatform.HOLDERS_APART_MILLIS);
        assertEquals(List.of(), platform.received);
        assertEquals(0, platform.appendsCount);

        platform.time.advanceMillis(500);
        assertEquals(3, platform.received.size());
    }

    /** Failure: the holder dies between the record and the call, and the plan is never ordered. */
    @Test
    void successorOrdersRecordedPlanOfKilledHolder() {
        ScaledPlatform.Instance holder = startedHolder();
        holder.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.killOnAppend = holder;
        platform.time.advanceMillis(1_000);
        assertFalse(holder.isAlive);
        assertEquals(3, platform.received.size());

        ScaledPlatform.Instance successor = platform.new Instance("i1");
        successor.isAssigned = true;
        platform.time.advanceMillis(TAKEOVER_MILLIS + ScaledPlatform.BOOT_MILLIS);
        assertEquals(SECOND, platform.desiredCounts(SERVICE));
        assertEquals(new ScalePlan(SECOND), successor.lastObserved.lastPlan());
        assertTrue(receivedFrom(3).get(0).token() > platform.received.get(2).token());
    }

    /** Failure: a holder was suspended after its record, and orders beside its successor. */
    @Test
    void recordWhoseAnswerComesTooLatePermitsNoOrder() {
        ScaledPlatform.Instance holder = startedHolder();
        platform.appendMillis = 1_000;
        holder.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.time.advanceMillis(1_250);
        platform.appendMillis = 0;
        holder.isAssigned = false;
        platform.time.advanceMillis(10_000);
        assertEquals(3, platform.received.size());
    }

    /** Failure: a holder that has the duty again takes pools for confirmed that another one has changed since. */
    @Test
    void holderThatReturnsSendsWholePlanAgain() {
        ScaledPlatform.Instance holder = startedHolder();
        holder.isAssigned = false;
        ScaledPlatform.Instance other = startHolder("i1", SECOND);
        platform.time.advanceMillis(2 * TAKEOVER_MILLIS);
        assertEquals(SECOND, platform.desiredCounts(SERVICE));
        int sentCount = platform.received.size();

        other.isAssigned = false;
        holder.isAssigned = true;
        int appendsCount = platform.appendsCount;
        for (int i = 0; i < 100 && platform.appendsCount == appendsCount; i++) {
            platform.time.advanceMillis(250);
        }
        assertEquals(
                List.of(fixed("a"), fixed("b"), spot("b")),
                receivedFrom(sentCount).stream()
                        .map(each -> each.order().pool())
                        .toList());
    }

    /** Failure: an order without an answer is executed after a newer one, and the pool keeps the old size. */
    @Test
    void stateConvergesAfterOrderIsExecutedLate() {
        ScaledPlatform.Instance holder = startedHolder();
        platform.dutyIsAway = true;
        holder.wanted.put(SERVICE, new ScalePlan(Map.of(fixed("a"), 9)));
        platform.time.advanceMillis(500);
        Received lost = platform.received.get(3);
        holder.wanted.put(SERVICE, new ScalePlan(FIRST));
        platform.dutyIsAway = false;
        platform.time.advanceMillis(3_000);
        assertEquals(FIRST, platform.desiredCounts(SERVICE));
        assertTrue(receivedFrom(4).stream().allMatch(each -> each.token() > lost.token()));

        platform.execute(lost.order());
        assertEquals(9, platform.desiredCounts(SERVICE).get(fixed("a")));
        platform.time.advanceMillis(2 * ScaledPlatform.BOOT_MILLIS + 4_000);
        assertEquals(FIRST, platform.desiredCounts(SERVICE));
    }

    /** Failure: engines are released, or ordered without a record, while the store does not answer. */
    @Test
    void nothingIsSentWhileStoreIsAway() {
        ScaledPlatform.Instance holder = startedHolder();
        platform.storeIsAway = true;
        holder.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.time.advanceMillis(30_000);
        assertEquals(3, platform.received.size());
        assertEquals(
                1, platform.appendsCount - 1, "a claim without an answer is not repeated while others may hold it");

        platform.storeIsAway = false;
        platform.time.advanceMillis(TAKEOVER_MILLIS + ScaledPlatform.BOOT_MILLIS);
        assertEquals(SECOND, platform.desiredCounts(SERVICE));
    }

    /** Failure: engines are released although the orders for their replacement do not arrive. */
    @Test
    void nothingIsReleasedWhileDutyAddressIsAway() {
        ScaledPlatform.Instance holder = startedHolder();
        platform.dutyIsAway = true;
        holder.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.time.advanceMillis(30_000);
        assertEquals(FIRST, platform.desiredCounts(SERVICE));
        assertTrue(receivedFrom(3).stream().allMatch(each -> each.order().pool().equals(spot("b"))));
        assertTrue(platform.appendsCount < 20, platform.appendsCount + " records");

        platform.dutyIsAway = false;
        platform.time.advanceMillis(3_000 + 2 * ScaledPlatform.BOOT_MILLIS);
        assertEquals(SECOND, platform.desiredCounts(SERVICE));
    }

    /** Failure: on-demand engines are released for spot engines that do not exist, or these are never asked for again. */
    @Test
    void unavailablePoolIsOrderedAgainAndNothingIsReleasedForIt() {
        ScaledPlatform.Instance holder = startedHolder();
        platform.unavailable.add(spot("b"));
        holder.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.time.advanceMillis(2_000);
        assertEquals(Map.of(fixed("a"), 3, fixed("b"), 5, spot("b"), 4), platform.desiredCounts(SERVICE));
        assertTrue(holder.lastObserved.unavailableUntilMillis().containsKey(spot("b")));
        platform.time.advanceMillis(8_000);
        assertTrue(receivedFrom(3).size() <= 6, platform.received.toString());

        platform.unavailable.clear();
        platform.time.advanceMillis(PoolOrders.UNAVAILABLE_MILLIS + 250 + ScaledPlatform.BOOT_MILLIS + 250);
        assertEquals(SECOND, platform.desiredCounts(SERVICE));
    }

    /** Failure: spot engines are reclaimed while they are needed, and are never ordered again. */
    @Test
    void reclaimedSpotEnginesAreOrderedAgainSoon() {
        ScaledPlatform.Instance holder = startedHolder();
        platform.readyCounts(SERVICE).put(spot("b"), 0);
        platform.unavailable.add(spot("b"));
        holder.wanted.put(SERVICE, new ScalePlan(Map.of(fixed("a"), 7, fixed("b"), 2, spot("b"), 4)));
        platform.time.advanceMillis(3_000);
        assertEquals(
                List.of(fixed("a"), spot("b")),
                receivedFrom(3).stream().map(each -> each.order().pool()).toList());

        platform.unavailable.clear();
        holder.wanted.put(SERVICE, new ScalePlan(FIRST));
        platform.time.advanceMillis(PoolOrders.UNAVAILABLE_MILLIS + 250);
        assertEquals(7, platform.desiredCounts(SERVICE).get(fixed("a")));
        platform.time.advanceMillis(ScaledPlatform.BOOT_MILLIS + 250);
        assertEquals(FIRST, platform.desiredCounts(SERVICE));
        assertEquals(4, platform.readyCounts(SERVICE).get(spot("b")));
    }

    /** Failure: a holder whose release is refused goes on although another one has sent a higher token. */
    @Test
    void refusedReleaseShowsAnotherHolder() {
        ScaledPlatform.Instance holder = startedHolder();
        platform.isFenced = true;
        holder.wanted.put(SERVICE, new ScalePlan(Map.of(fixed("a"), 1, fixed("b"), 1)));
        platform.time.advanceMillis(ScaledPlatform.HOLDERS_APART_MILLIS);
        assertEquals(4, platform.received.size());
        assertEquals(2, platform.readsCount);

        platform.isFenced = false;
        platform.time.advanceMillis(TAKEOVER_MILLIS);
        assertEquals(1, platform.desiredCounts(SERVICE).get(fixed("a")));
    }

    /** Failure: a plan stays in force that a new configuration forbids. */
    @Test
    void nextPlanObeysNewLimitsAndServiceWithoutThemIsLeftAlone() {
        startedHolder();
        platform.services.put(SERVICE, ScaledPlatform.limits(SERVICE, 3));
        platform.time.advanceMillis(1_000);
        assertEquals(Map.of(fixed("a"), 3, fixed("b"), 2, spot("b"), 3), platform.desiredCounts(SERVICE));

        platform.services.clear();
        platform.readyCounts(SERVICE).clear();
        int sentCount = platform.received.size();
        platform.time.advanceMillis(60_000);
        assertEquals(sentCount, platform.received.size());
    }

    /** Failure: the copy's old plan is sent again, and releases what was ordered since. */
    @Test
    void planOfCopyIsNotSentAgainButDecidedAnew() {
        ScaledPlatform.Instance holder = startedHolder();
        holder.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.time.advanceMillis(6_000);
        int sentCount = platform.received.size();
        platform.loseLastRecords(2);
        holder.isAssigned = false;
        holder.wanted.clear();
        ScaledPlatform.Instance successor = platform.new Instance("i1");
        successor.isAssigned = true;
        platform.time.advanceMillis(20_000);
        assertEquals(ScalePlan.NONE, successor.lastObserved.lastPlan());
        assertEquals(sentCount, platform.received.size());

        successor.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.time.advanceMillis(1_000);
        assertTrue(receivedFrom(sentCount).get(0).token()
                > platform.received.get(sentCount - 1).token());
    }

    /** Failure: the holder's plan is lost with the store's newest records, and its successor knows none. */
    @Test
    void holderRecordsItsPlanAgainAfterCopy() {
        ScaledPlatform.Instance holder = startedHolder();
        platform.loseLastRecords(1);
        holder.noticeEra();
        platform.time.advanceMillis(TAKEOVER_MILLIS);
        assertEquals(2, platform.readsCount);
        assertEquals(2, platform.appendsCount);
        assertEquals(6, platform.received.size());
        assertTrue(platform.received.get(3).token() > platform.received.get(2).token());
    }

    /** Failure: a record of another version ends all planning, or releases engines. */
    @Test
    void damagedRecordCountsAsNoPlan() {
        platform.writeDamagedRecord(SERVICE);
        ScaledPlatform.Instance holder = platform.new Instance("i0");
        holder.isAssigned = true;
        platform.time.advanceMillis(10_000);
        assertEquals(ScalePlan.NONE, holder.lastObserved.lastPlan());
        assertEquals(List.of(), platform.received);

        holder.wanted.put(SERVICE, new ScalePlan(FIRST));
        platform.time.advanceMillis(1_000);
        assertEquals(FIRST, platform.desiredCounts(SERVICE));
    }

    /** Failure: an instance to which the duty is no longer assigned goes on by what it knew. */
    @Test
    void instanceWithoutDutyNeitherPlansNorOrders() {
        ScaledPlatform.Instance holder = startedHolder();
        holder.isAssigned = false;
        holder.lastObserved = null;
        holder.wanted.put(SERVICE, new ScalePlan(SECOND));
        platform.time.advanceMillis(60_000);
        assertNull(holder.lastObserved);
        assertEquals(3, platform.received.size());
    }

    /** Guards against lower tokens after higher ones, tokens of two holders and holders that take turns, under faults. */
    @Test
    void tokensRiseAndHoldersStayApartUnderFaults() {
        int receivedCount = 0;
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            platform = new ScaledPlatform(SERVICE, "t");
            platform.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            List<ScaledPlatform.Instance> instances = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                instances.add(platform.new Instance("i" + i));
            }
            platform.faultRate = 0.2;
            for (int second = 0; second < 120; second++) {
                disturb(instances);
                platform.time.advanceMillis(1_000);
            }
            receivedCount += platform.received.size();
            assertConverges(instances, seed);
            assertEquals(List.of(), platform.violations, "seed " + seed);
        }
        assertTrue(receivedCount > SEED_COUNT * 30, receivedCount + " orders");
    }

    private void disturb(List<ScaledPlatform.Instance> instances) {
        for (int i = 0; i < instances.size(); i++) {
            ScaledPlatform.Instance instance = instances.get(i);
            if (platform.random.nextDouble() < 0.1) {
                instance.isAssigned = platform.random.nextDouble() < 0.6;
            }
            if (platform.random.nextDouble() < 0.02) {
                instance.isAlive = false;
                instances.set(i, platform.new Instance("i" + i));
            }
            for (String service : platform.services.keySet()) {
                if (platform.random.nextDouble() < 0.2) {
                    instance.wanted.put(service, randomPlan());
                }
            }
        }
        platform.storeIsAway = platform.random.nextDouble() < 0.05;
        platform.dutyIsAway = platform.random.nextDouble() < 0.05;
        platform.unavailable.removeIf(_pool -> platform.random.nextDouble() < 0.2);
        if (platform.random.nextDouble() < 0.05) {
            platform.unavailable.add(spot("b"));
        }
        if (platform.random.nextDouble() < 0.02) {
            platform.loseLastRecords(platform.random.nextInt(4));
        }
    }

    private ScalePlan randomPlan() {
        return new ScalePlan(Map.of(
                fixed("a"),
                platform.random.nextInt(6),
                fixed("b"),
                platform.random.nextInt(6),
                spot("b"),
                platform.random.nextInt(6)));
    }

    private void assertConverges(List<ScaledPlatform.Instance> instances, int seed) {
        platform.faultRate = 0;
        platform.storeIsAway = false;
        platform.dutyIsAway = false;
        platform.unavailable.clear();
        instances.forEach(instance -> instance.isAssigned = false);
        ScaledPlatform.Instance last = instances.get(0);
        last.isAssigned = true;
        platform.services.keySet().forEach(service -> last.wanted.put(service, randomPlan()));
        platform.time.advanceMillis(60_000);
        last.wanted.forEach((service, plan) ->
                assertEquals(plan.desiredCounts(), platform.desiredCounts(service), "seed " + seed + ", " + service));
    }
}
