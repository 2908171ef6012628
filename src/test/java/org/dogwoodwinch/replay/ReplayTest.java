package org.dogwoodwinch.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReplayTest {

    private static final long MILLIS = 40_000;

    @TempDir
    private Path folder;

    @Test
    void oneSeedGivesOneTraceThatSurvivesItsFile() throws IOException {
        Trace trace = trace(3, 1);
        Path file = folder.resolve("trace.jsonl");
        TraceCodec.write(trace, file);
        assertEquals(trace, TraceCodec.read(file));
        assertEquals(trace, trace(3, 1));
    }

    @Test
    void aReplayRepeatsExactlyAndStaysBelowTheHindsightBound() {
        Trace trace = trace(4, 0.85);
        ReplayResult first = new Replay(trace, ReplayPolicy.ours(1)).run();
        assertEquals(first, new Replay(trace, ReplayPolicy.ours(1)).run());
        assertTrue(first.goodputPerSecond() <= first.boundPerSecond());
    }

    /**
     * Every caller comes at once to a fleet that cannot grow. Started all at once, each answer would be late and the
     * engines would work for nobody; admitted by deadline, what is answered in time stays about what it was.
     */
    @Test
    void threeTimesTheLoadDoesNotCollapseGoodput() {
        for (long seed : new long[] {5, 8, 9}) {
            double usual =
                    new Replay(trace(seed, 0.85), ReplayPolicy.ours(1)).run().goodputPerSecond();
            double triple =
                    new Replay(trace(seed, 2.55), ReplayPolicy.ours(1)).run().goodputPerSecond();
            assertTrue(triple >= 0.9 * usual, seed + ": " + usual + " became " + triple);
        }
    }

    /** A planned change must not cut what runs: the engine is drained first, whatever the policy asks for. */
    @Test
    void roleChangesCutNothing() {
        Trace calm = trace(6, 0.7).withFaults(List.of());
        ReplayResult greedy = new Replay(
                        calm,
                        ReplayPolicy.all(0).stream()
                                .filter(policy -> policy.roles() == ReplayPolicy.Roles.GREEDY)
                                .findFirst()
                                .orElseThrow())
                .run();
        assertTrue(greedy.roleChanges() > 0);
        assertEquals(0, greedy.failed());
    }

    @Test
    void outcomesAreCheckedAndAPlotIsWritten() throws IOException {
        ReplayResult result = new Replay(trace(7, 0.5), ReplayPolicy.ours(1)).run();
        PolicyFigures figures = PolicyFigures.of(List.of(result));
        assertTrue(new ExpectedOutcome("goodputPerSecond", 1.0, null).heldBy(figures));
        assertFalse(new ExpectedOutcome("roleChanges", null, -1.0).heldBy(figures));
        assertFalse(new ExpectedOutcome("no-such-figure", null, null).heldBy(figures));
        Path file = folder.resolve("plot.png");
        GoodputPlot.write("goodput", List.of(result), file);
        assertTrue(Files.size(file) > 0);
    }

    private static Trace trace(long seed, double load) {
        return new TraceGenerator(Deployment.MALABAR, seed, MILLIS, load).generate();
    }
}
