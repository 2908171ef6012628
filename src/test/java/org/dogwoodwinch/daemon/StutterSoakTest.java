package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs instances over real sockets before sound targets and targets that send answers a second time, late, whole or cut
 * off, and compares each answer at the callers with what the targets recorded for that call. Further seeds:
 * {@code -Dsoak.seeds=50}; one seed alone: {@code -Dsoak.seed=7}; up to 90 instances: {@code -Dsoak.instances=90}; the
 * figures of all runs: {@code -Dsoak.report=true}. Many instances in one process need an idle machine: where connections
 * take seconds, calls also reach their deadline without a fault.
 */
class StutterSoakTest {

    private static final int DEFAULT_SEEDS = 3;
    private static final int DEFAULT_INSTANCES = 6;

    /** Failure: a late second answer and the answer of the next call are read as one answer, or as the other's. */
    @Test
    void eachAnswerIsThatOfItsCallBesideTargetsThatAnswerTwice() throws Exception {
        int instancesCount = Integer.getInteger("soak.instances", DEFAULT_INSTANCES);
        int onlySeed = Integer.getInteger("soak.seed", 0);
        int lastSeed = onlySeed > 0 ? onlySeed : Integer.getInteger("soak.seeds", DEFAULT_SEEDS);
        List<String> failures = new ArrayList<>();
        for (int seed = Math.max(1, onlySeed); seed <= lastSeed; seed++) {
            play(instancesCount, seed, failures);
        }
        assertEquals(List.of(), failures, () -> failures.size() + " failures\n" + String.join("\n", failures));
    }

    private static void play(int instancesCount, int seed, List<String> failures) throws Exception {
        try (StutterRun run = new StutterRun(instancesCount, seed)) {
            List<StutterReply> replies = run.play();
            List<String> found = run.failuresOf(replies);
            found.forEach(failure -> failures.add("seed " + seed + ", " + failure));
            long successesCount =
                    replies.stream().filter(StutterReply::isSuccess).count();
            if (Boolean.getBoolean("soak.report")) {
                System.out.println("seed " + seed + ": " + replies.size() + " calls, " + successesCount
                        + " successes, " + run.secondAnswersCount() + " second answers, " + found.size()
                        + " failures");
            }
            assertTrue(run.secondAnswersCount() > 0, "no target has answered twice");
            assertTrue(successesCount > replies.size() / 2, () -> "only " + successesCount + " successes");
        }
    }
}
