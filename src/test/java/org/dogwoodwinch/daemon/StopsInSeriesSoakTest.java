package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;

/**
 * Runs instances over real sockets that are stopped, reloaded and killed in series, beside one that is cut off from the
 * targets, and compares what callers on kept connections receive with what the targets ran. Further seeds:
 * {@code -Dsoak.seeds=50}; one seed alone: {@code -Dsoak.seed=7}; the figures of all runs: {@code -Dsoak.report=true}.
 */
class StopsInSeriesSoakTest {

    private static final int DEFAULT_SEEDS = 2;

    /** Failure: a stop ends connections whose calls were read, and their callers receive no answer. */
    @Test
    void eachCallThatWasReadIsAnsweredWhileInstancesStopInSeries()
            throws IOException, InterruptedException, ExecutionException {
        int onlySeed = Integer.getInteger("soak.seed", 0);
        int lastSeed = onlySeed > 0 ? onlySeed : Integer.getInteger("soak.seeds", DEFAULT_SEEDS);
        List<String> failures = new ArrayList<>();
        for (int seed = Math.max(1, onlySeed); seed <= lastSeed; seed++) {
            play(seed, failures);
        }
        assertEquals(List.of(), failures, () -> failures.size() + " failures\n" + String.join("\n", failures));
    }

    private static void play(int seed, List<String> failures)
            throws IOException, InterruptedException, ExecutionException {
        try (StopSeriesRun run = new StopSeriesRun(seed)) {
            List<StopSeriesReply> replies = run.play();
            Map<StopSeriesOutcome, Integer> counts = new EnumMap<>(StopSeriesOutcome.class);
            List<String> found = new ArrayList<>();
            for (StopSeriesReply reply : replies) {
                int runsCount = run.runsOf(reply);
                StopSeriesOutcome outcome = StopSeriesOutcome.of(reply, runsCount);
                if (!run.wasKilled(reply)) {
                    counts.merge(outcome, 1, Integer::sum);
                }
                check(reply, outcome, runsCount, run.wasKilled(reply))
                        .forEach(failure -> found.add("seed " + seed + ": " + failure));
            }
            failures.addAll(found);
            if (Boolean.getBoolean("soak.report")) {
                System.out.println("seed " + seed + ": " + replies.size() + " calls, " + counts + ", " + found.size()
                        + " failures");
            }
            int wholeCount = counts.getOrDefault(StopSeriesOutcome.WHOLE, 0);
            assertTrue(wholeCount > replies.size() / 2, () -> "only " + wholeCount + " of " + replies.size());
        }
    }

    private static List<String> check(
            StopSeriesReply reply, StopSeriesOutcome outcome, int runsCount, boolean wasKilled) {
        List<String> failures = new ArrayList<>();
        StutterCall call = reply.reply().call();
        String text = call.kind() + " " + call.id() + " at " + reply.instance() + " after " + reply.waitedMillis()
                + " ms: " + reply.reply().status() + " " + reply.reply().trouble() + ", ran " + runsCount + " times, ";
        if (outcome == StopSeriesOutcome.UNANSWERED && !wasKilled) {
            failures.add(text + "closed without an answer");
        }
        if (outcome == StopSeriesOutcome.REFUSED && runsCount > 0) {
            failures.add(text + "stated not to have run");
        }
        if (runsCount > call.kind().maxRuns()) {
            failures.add(text + "more than allowed");
        }
        if (outcome == StopSeriesOutcome.WHOLE && !reply.reply().body().equals(call.successBody())) {
            failures.add(text + "another body than that of this call");
        }
        return failures;
    }
}
