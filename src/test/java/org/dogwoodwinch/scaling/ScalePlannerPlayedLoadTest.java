package org.dogwoodwinch.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays prompts that arrive at random, in bursts that alternate each 2.8 s and each 14 s, at the engines of a model. */
class ScalePlannerPlayedLoadTest {

    private static final long DAY_MILLIS = 120_000;
    private static final long RECLAIM_MILLIS = 60_000;
    private static final int CHUNK_MILLIS = 10;

    private final ModelPlatform platform = new ModelPlatform(16, "a", "b", "c", "d");
    private UniformRandomProvider random;
    private final List<Double> waitsMillis = new ArrayList<>();

    /** Three classes of prompts; the rates of the last two vary against each other. */
    private enum Prompt {
        BRIEF(71.2, 150, 0),
        DIGEST(96.5, 80, 0.45),
        NOTE(77.8, 13, -0.45);

        private final double perSecond;
        private final double workMillis;
        private final double variation;

        Prompt(double perSecond, double workMillis, double variation) {
            this.perSecond = perSecond;
            this.workMillis = workMillis;
            this.variation = variation;
        }

        double perSecondAt(long millis) {
            int fast = millis / 2_800 % 2 == 0 ? 1 : -1;
            int slow = millis / 14_000 % 2 == 0 ? 1 : -1;
            return perSecond * (1 + variation * (fast + slow));
        }
    }

    private static double demandAt(long millis) {
        double sum = 0;
        for (Prompt prompt : Prompt.values()) {
            sum += prompt.perSecondAt(millis) * prompt.workMillis / 1_000;
        }
        return sum;
    }

    private static double peakDemand(long fromMillis, long toMillis) {
        double peak = 0;
        for (long millis = fromMillis; millis <= toMillis; millis += 200) {
            peak = Math.max(peak, demandAt(Math.max(0, millis)));
        }
        return peak;
    }

    /** The engines that the headroom of the planner asks for if the demand of the last and the next burst is known. */
    private static double hindsightEngineMillis() {
        double sum = 0;
        for (long millis = 0; millis < DAY_MILLIS; millis += ModelPlatform.STEP_MILLIS) {
            sum += Math.ceil(peakDemand(millis - 19_000, millis + ModelPlatform.BOOT_MILLIS) / 0.6)
                    * ModelPlatform.STEP_MILLIS;
        }
        return sum;
    }

    private void play(List<ModelPlatform.Engine> ready) {
        for (long millis = platform.nowMillis;
                millis < platform.nowMillis + ModelPlatform.STEP_MILLIS;
                millis += CHUNK_MILLIS) {
            for (Prompt prompt : Prompt.values()) {
                double expected = prompt.perSecondAt(millis) * CHUNK_MILLIS / 1_000;
                while (random.nextDouble() < expected) {
                    send(ready, prompt.workMillis);
                    expected -= 1;
                }
            }
            for (ModelPlatform.Engine engine : ready) {
                double left = CHUNK_MILLIS;
                while (left > 0 && !engine.promptsMillis.isEmpty()) {
                    double work = engine.promptsMillis.removeFirst();
                    if (work > left) {
                        engine.promptsMillis.addFirst(work - left);
                    }
                    left -= work;
                }
            }
        }
    }

    private void send(List<ModelPlatform.Engine> ready, double workMillis) {
        ModelPlatform.Engine shortest =
                ready.stream().min(Comparator.comparingDouble(this::waitMillis)).orElseThrow();
        waitsMillis.add(waitMillis(shortest));
        shortest.promptsMillis.addLast(workMillis);
    }

    private double waitMillis(ModelPlatform.Engine engine) {
        double sum = 0;
        for (double workMillis : engine.promptsMillis) {
            sum += workMillis;
        }
        return sum;
    }

    /**
     * Engines were paid for that no burst needed; a reclaim during a burst left too few; and each burst caused orders
     * that the next one reversed.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void alternatingBurstsAndAReclaim(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        platform.load = this::play;
        platform.runFor(RECLAIM_MILLIS);
        int countBefore = platform.ready().size();
        int onDemandBefore = platform.count(EngineKind.ON_DEMAND);
        int plansBefore = platform.plans.size();
        int reclaimedCount = platform.reclaimWorst(10_000);
        int remainingCount = platform.ready().size();
        platform.runFor(2 * ModelPlatform.BOOT_MILLIS);
        int replacedCount = platform.ready().size();
        platform.runFor(DAY_MILLIS - RECLAIM_MILLIS - 2 * ModelPlatform.BOOT_MILLIS);
        double ratio = platform.engineMillis / hindsightEngineMillis();
        long lateCount = waitsMillis.stream().filter(wait -> wait > 300).count();

        String result = String.format(
                "engine-seconds %.3f of hindsight; engines %d, after the reclaim of %d %d, replaced %d, at the end %d; "
                        + "%d of %d prompts waited; plans at %s ms",
                ratio,
                countBefore,
                reclaimedCount,
                remainingCount,
                replacedCount,
                platform.ready().size(),
                lateCount,
                waitsMillis.size(),
                platform.planMillis);
        assertTrue(ratio <= 1.15, result);
        assertTrue(reclaimedCount > 0 && remainingCount * 0.8 >= peakDemand(0, DAY_MILLIS), result);
        assertTrue(replacedCount >= remainingCount + reclaimedCount / 2, result);
        assertEquals(0, lateCount, result);
        assertTrue(platform.planMillis.get(plansBefore - 1) <= 30_000, result);
        assertEquals(plansBefore + 2, platform.plans.size(), result);
        assertEquals(countBefore, platform.ready().size(), 2, result);
        assertEquals(onDemandBefore, platform.count(EngineKind.ON_DEMAND), 2, result);
    }
}
