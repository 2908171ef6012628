package org.dogwoodwinch.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.junit.jupiter.api.Test;

class ScalePlannerTest {

    /** An engine that prefills only reads 30 tokens in a millisecond. */
    private static final PrefillRates RATES = new PrefillRates(30);

    private static final String[] DATA_CENTRES = {"a", "b", "c", "d"};

    private final ModelPlatform platform = new ModelPlatform(16, DATA_CENTRES);

    /** The load is unknown before the traffic starts: all engines were released, or all of them were on-demand. */
    @Test
    void unknownDemandKeepsTheTotalAndReplacesHalfBySpotEngines() {
        for (int i = 0; i < 40; i++) {
            platform.runFor(ModelPlatform.STEP_MILLIS);
            assertTrue(
                    platform.ready().size() >= 64,
                    "ready engines: " + platform.ready().size());
        }
        assertEquals(64, platform.engines.size());
        assertEquals(32, platform.count(EngineKind.SPOT));
        for (String dataCentre : DATA_CENTRES) {
            assertEquals(8, platform.count(new EnginePool(dataCentre, EngineKind.SPOT)));
            assertTrue(platform.count(new EnginePool(dataCentre, EngineKind.ON_DEMAND)) >= 1);
        }
        assertTrue(platform.plans.size() <= 2, "plans: " + platform.plans);
    }

    /** Engines of data centres that are not seen yet would be released by a plan that names all pools. */
    @Test
    void firstPlanOrdersOnlySpotEngines() {
        ScalePlan first = platform.step().orElseThrow();
        assertTrue(first.desiredCounts().keySet().stream().allMatch(pool -> pool.kind() == EngineKind.SPOT));
    }

    /** After a restart, no engine is known, and a plan for none of them would replace or release all. */
    @Test
    void noReadyEnginesCauseNoPlan() {
        settle(12);
        for (int i = 0; i < 80; i++) {
            platform.nowMillis += ModelPlatform.STEP_MILLIS;
            ScaleObservation empty =
                    new ScaleObservation(List.of(), _id -> TargetLoad.EMPTY, platform.lastPlan, Map.of(), Map.of());
            ScalingLimits more = limits(20, 32, OptionalDouble.empty());
            assertEquals(Optional.empty(), platform.planner.plan(empty, more, platform.nowMillis));
        }
    }

    /** On-demand engines were released although the platform had no spot engines to replace them. */
    @Test
    void onDemandEnginesStayWhileSpotEnginesAreMissing() {
        platform.spotUnavailableUntilMillis = Long.MAX_VALUE;
        platform.setBusy(30);
        platform.runFor(16_000);
        assertEquals(64, platform.count(EngineKind.ON_DEMAND));
        platform.runFor(60_000);
        assertEquals(50, platform.count(EngineKind.ON_DEMAND), 3);
    }

    /** The holder of the duty is replaced while engines are replaced, and its successor takes both kinds as wanted. */
    @Test
    void successorContinuesFromTheLastPlan() {
        platform.runFor(2_000);
        platform.planner = ModelPlatform.createPlanner();
        platform.runFor(8_000);
        assertEquals(64, platform.engines.size());
        assertEquals(32, platform.count(EngineKind.SPOT));
    }

    /** With two thirds busy, a burst finds no idle engine; releasing many at once loses the KV caches of a service. */
    @Test
    void fewBusyEnginesCauseReleasesInStepsDownToTheHeadroom() {
        platform.setBusy(12);
        platform.runFor(7_000);
        int last = 64;
        for (int i = 0; i < 80; i++) {
            platform.runFor(1_000);
            int count = platform.ready().size();
            assertTrue(count >= last - last / 5, "released at once: " + (last - count) + " of " + last);
            last = count;
        }
        assertEquals(20, platform.engines.size(), 1);
        assertEquals(4, platform.count(EngineKind.ON_DEMAND), 1);
    }

    /** An idle service keeps two prefill and three decode engines. */
    @Test
    void idleServiceKeepsFiveEngines() {
        platform.setBusy(1);
        platform.runFor(200_000);
        assertEquals(5, platform.engines.size());
    }

    /** With all engines busy and prompts waiting, the utilisation alone says that no more than 1.0 is needed. */
    @Test
    void waitingPromptsAreDemandBeyondTheEngines() {
        settle(12);
        platform.setBusy(80);
        platform.runFor(2_500);
        assertTrue(platform.engines.size() >= 40, "engines: " + platform.engines.size());
    }

    /** A burst that returns after 14 s finds the engines that the last one needed. */
    @Test
    void burstsThatReturnCauseNoRelease() {
        settle(30);
        int plansCount = platform.plans.size();
        for (int i = 0; i < 4; i++) {
            platform.setBusy(10);
            platform.runFor(14_000);
            platform.setBusy(30);
            platform.runFor(14_000);
        }
        assertEquals(plansCount, platform.plans.size());
    }

    /** The reclaim of a data centre's spot engines left too few engines for the demand. */
    @Test
    void worstReclaimLeavesWhatTheDemandNeedsAndIsFilled() {
        settle(24);
        int before = platform.engines.size();
        int reclaimed = platform.reclaimWorst(10_000);
        assertTrue(reclaimed > 0);
        assertTrue(
                platform.ready().size() * 0.8 >= 24,
                "engines after the reclaim: " + platform.ready().size());
        platform.runFor(5_000);
        assertEquals(before, platform.ready().size(), 2, "on-demand engines replace the reclaimed ones");
        platform.runFor(20_000);
        assertEquals(before, platform.engines.size(), 2, "and are released when there are spot engines again");
        assertEquals(4, platform.count(EngineKind.ON_DEMAND), 2);
    }

    /** The operator lowers the limit, and the next plan still exceeded it. */
    @Test
    void changedLimitsAreObeyedAtOnce() {
        settle(24);
        platform.limits = limits(2, 8, OptionalDouble.of(0.22));
        platform.runFor(ModelPlatform.STEP_MILLIS);
        for (String dataCentre : DATA_CENTRES) {
            assertTrue(platform.count(dataCentre) <= 8, dataCentre + ": " + platform.count(dataCentre));
        }
        platform.limits = limits(20, 32, OptionalDouble.of(0.22));
        platform.runFor(ModelPlatform.STEP_MILLIS);
        for (String dataCentre : DATA_CENTRES) {
            assertTrue(platform.count(dataCentre) >= 20, dataCentre + ": " + platform.count(dataCentre));
        }
    }

    /** A limit that was exceeded by a single engine of many was taken for a change that is not worth an order. */
    @Test
    void smallExcessOverALimitIsOrdered() {
        platform.limits = limits(1, 32, OptionalDouble.empty());
        settle(24);
        int max = platform.count("b") - 1;
        platform.limits = limits(1, max, OptionalDouble.empty());
        platform.runFor(ModelPlatform.STEP_MILLIS);
        assertEquals(max, platform.count("b"));
    }

    /** Without spot engines, all engines went to the cheapest data centre, whose failure took the service. */
    @Test
    void withoutSpotEnginesNoDataCentreHoldsMoreThanHalf() {
        for (OptionalDouble ratio : List.of(OptionalDouble.empty(), OptionalDouble.of(1))) {
            ModelPlatform onDemandOnly = new ModelPlatform(16, DATA_CENTRES);
            onDemandOnly.limits = limits(1, 32, ratio);
            onDemandOnly.setBusy(12);
            onDemandOnly.runFor(100_000);
            int total = onDemandOnly.engines.size();
            assertEquals(20, total, 1);
            assertEquals(0, onDemandOnly.count(EngineKind.SPOT));
            assertEquals(total, 2 * onDemandOnly.count("b"), 2);
            assertEquals(1, onDemandOnly.count("d"));
        }
    }

    /** The cheapest data centre fails, and the engines that replace its own were ordered there again. */
    @Test
    void failedDataCentreIsReplacedByOthers() {
        ModelPlatform pair = new ModelPlatform(10, "a", "b");
        pair.limits = limits(1, 32, OptionalDouble.empty());
        pair.setBusy(9);
        pair.runFor(60_000);
        int before = pair.engines.size();
        EnginePool cheapest = new EnginePool("b", EngineKind.ON_DEMAND);
        pair.unavailablePools.add(cheapest);
        pair.engines.removeIf(engine -> engine.pool.equals(cheapest));
        pair.runFor(6_000);
        assertEquals(before, pair.ready().size(), 1);
        assertEquals(10, pair.lastPlan.desiredCounts().get(cheapest), "no more are ordered where none come");
        pair.unavailablePools.clear();
        pair.runFor(20_000);
        assertEquals(before, pair.engines.size(), 1);
    }

    /** With two data centres, half of the spot engines are reclaimed at once, and most engines were spot engines. */
    @Test
    void fewerDataCentresHaveFewerSpotEngines() {
        ModelPlatform pair = new ModelPlatform(20, "a", "b");
        pair.setBusy(12);
        pair.runFor(90_000);
        assertTrue(pair.reclaimWorst(10_000) > 0);
        assertTrue(
                pair.ready().size() * 0.8 >= 12,
                "engines after the reclaim: " + pair.ready().size());
    }

    /** Each time the refusal of an order had expired, the substitutes were ordered back. */
    @Test
    void shortageLastsUntilTheEnginesAreReady() {
        EngineShortage shortage = new EngineShortage();
        EnginePool pool = new EnginePool("a", EngineKind.SPOT);
        assertEquals(0, shortage.record(pool, 8, 2, false, 8_000, 0), "booting");
        assertEquals(6, shortage.record(pool, 8, 2, true, 8_000, 250), "refused");
        assertEquals(6, shortage.record(pool, 8, 2, false, 8_000, 2_250), "refusal expired");
        assertEquals(1, shortage.record(pool, 8, 7, false, 8_000, 6_250));
        assertEquals(0, shortage.record(pool, 8, 8, false, 8_000, 6_500));
        assertEquals(0, shortage.record(pool, 8, 7, false, 8_000, 7_000));
        assertEquals(1, shortage.record(pool, 8, 7, false, 8_000, 15_250), "does not come");
    }

    /**
     * While spot engines were reclaimed and missing in changing data centres, plans exceeded the limits of a data centre
     * or released engines that the demand needed.
     */
    @Test
    void randomEventsKeepTheLimitsAndTheNeededEngines() {
        for (int seed = 1; seed <= 20; seed++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            ModelPlatform played = new ModelPlatform(1 + random.nextInt(20), DATA_CENTRES);
            played.limits = limits(random.nextInt(4), 12 + random.nextInt(20), OptionalDouble.of(0.22));
            int busy = 5;
            int busyEngines = busy;
            played.setBusy(busy);
            played.runFor(20_000);
            for (int i = 0; i < 60; i++) {
                if (random.nextInt(4) == 0) {
                    busy = random.nextInt(25);
                    busyEngines = Math.min(busy, played.ready().size());
                    played.setBusy(busy);
                    played.runFor(3_000);
                }
                if (random.nextInt(6) == 0) {
                    played.reclaimWorst(random.nextInt(20_000));
                }
                for (int j = 0; j < 16; j++) {
                    int readyBefore = played.ready().size();
                    Optional<ScalePlan> plan = played.step();
                    String seen = "seed " + seed + " at " + played.nowMillis + " ms, busy " + busy + ": " + plan;
                    double needed = busyEngines / 0.6 * 15 / 16 - 1;
                    assertTrue(played.ready().size() >= Math.min(readyBefore, needed), seen);
                    for (String dataCentre : DATA_CENTRES) {
                        assertTrue(played.count(dataCentre) <= played.limits.maxCount(), seen);
                        assertTrue(played.count(new EnginePool(dataCentre, EngineKind.ON_DEMAND)) >= 1, seen);
                    }
                    played.nowMillis += ModelPlatform.STEP_MILLIS;
                }
            }
            played.runFor(150_000);
            double needed = Math.max(5, Math.max(DATA_CENTRES.length * played.limits.minCount(), busy / 0.6));
            assertEquals(needed, played.engines.size(), busy / 0.6 / 8 + 1.5, "seed " + seed);
            int plansCount = played.plans.size();
            played.runFor(40_000);
            assertEquals(plansCount, played.plans.size(), "plans without a change, seed " + seed);
        }
    }

    /** Decode engines with most slots in use were taken for idle ones, as no prompt waits there. */
    @Test
    void decodeEnginesCountByTheirSlots() {
        Incarnation decode = new Incarnation("e1", "s", "10.0.0.1", 80, "a", 64, false, Stage.DECODE, 1);
        Incarnation prefill = new Incarnation("e2", "s", "10.0.0.1", 80, "a", 64, false, Stage.PREFILL, 1);
        TargetLoad running = new TargetLoad(48, PrefillQueue.EMPTY);
        TargetLoad reading = new TargetLoad(6, PrefillQueue.EMPTY.plusPrompts(2, 3 * ModelPlatform.PROMPT_TOKENS, 3));
        assertEquals(0.75, EngineDemand.total(List.of(decode), _id -> running, RATES));
        assertEquals(0, EngineDemand.total(List.of(prefill), _id -> running, RATES));
        assertEquals(3, EngineDemand.total(List.of(decode, prefill), _id -> reading, RATES), 0.01);
    }

    /** Engines that prefill short prompts were taken for busy while the prompts were on their way. */
    @Test
    void shortPromptsCountByTheirWork() {
        Incarnation prefill = new Incarnation("e2", "s", "10.0.0.1", 80, "a", 64, false, Stage.PREFILL, 1);
        TargetLoad load = new TargetLoad(1, PrefillQueue.ofPrompt(2, 600));
        assertEquals(0.25, EngineDemand.total(List.of(prefill), _id -> load, RATES), 0.01);
    }

    /** A step that looks up loads for pairs of engines takes too long for a service of thousands. */
    @Test
    void eachEngineIsLookedUpOnce() {
        AtomicInteger lookups = new AtomicInteger();
        List<Incarnation> ready =
                platform.ready().stream().map(engine -> engine.incarnation).toList();
        Function<String, TargetLoad> loadOf = _id -> {
            lookups.incrementAndGet();
            return TargetLoad.EMPTY;
        };
        Map<EnginePool, Integer> counts = Map.of(new EnginePool("a", EngineKind.ON_DEMAND), ready.size());
        ModelPlatform.createPlanner()
                .plan(new ScaleObservation(ready, loadOf, ScalePlan.NONE, counts, Map.of()), ModelPlatform.LIMITS, 0);
        assertEquals(ready.size(), lookups.get());
    }

    private void settle(int busyCount) {
        platform.setBusy(busyCount);
        platform.runFor(90_000);
    }

    /** With engines that boot at once, each observation began the history of the demand anew. */
    @Test
    void demandBecomesKnownWhereEnginesBootAtOnce() {
        platform.limits = new ScalingLimits(1, 32, 0, OptionalDouble.empty(), ModelPlatform.LIMITS.priceByDataCentre());
        platform.setBusy(12);
        platform.runFor(60_000);
        assertTrue(
                platform.ready().size() < 64,
                "ready engines: " + platform.ready().size());
    }

    private static ScalingLimits limits(int min, int max, OptionalDouble spotPriceRatio) {
        Map<String, Double> prices = ModelPlatform.LIMITS.priceByDataCentre();
        return new ScalingLimits(min, max, ModelPlatform.BOOT_MILLIS, spotPriceRatio, prices);
    }

    @Test
    void peakOfASlidingWindow() {
        RecentPeak peak = new RecentPeak();
        peak.add(5, 10, 0);
        peak.add(3, 10, 4);
        assertEquals(5, peak.value());
        peak.add(1, 10, 11);
        assertEquals(3, peak.value());
    }
}
