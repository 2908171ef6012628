package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;
import org.dogwoodwinch.history.HistoryChecks;
import org.dogwoodwinch.history.HistoryVerdict;

/**
 * Callers send keyed, un-keyed and repeatable requests through three instances while processes are killed and paused,
 * links to engines and log break, answers are lost, doubled, reordered and crossed, engines crash and the log goes out.
 * Whatever the schedule, a call that may run once runs at most once, "not run" is true, an answer is whole and its own
 * request's, and each call ends: the attempt ledger, the claims and the sequence numbers see to it.
 */
class RequestHistoryTest {

    private static final long SETTLE_MILLIS = 40_000;
    private static final long MIN_CHECKED = 1_000;

    private static final long[] CHECKED_COUNTS = new long[3];

    @Property(tries = 2_000, seed = "50131", generation = GenerationMode.RANDOMIZED, shrinking = ShrinkingMode.OFF)
    void propertiesHoldUnderGeneratedSchedules(
            @ForAll("schedules") List<ScenarioStep> schedule, @ForAll("seeds") long seed) {
        HistoryVerdict verdict = run(schedule, seed, RequestPolicies.STANDARD);
        assertTrue(verdict.held(), () -> schedule + " seed " + seed + "\n" + verdict.toText());
        for (int i = 0; i < CHECKED_COUNTS.length; i++) {
            CHECKED_COUNTS[i] += verdict.results().get(i).checked();
        }
    }

    /** Schedules in which nothing was refused or sent twice would prove nothing. */
    @AfterContainer
    static void eachPropertyWasCheckedOftenEnough() {
        for (long checked : CHECKED_COUNTS) {
            assertTrue(checked >= MIN_CHECKED, () -> "at stake: " + Arrays.toString(CHECKED_COUNTS));
        }
    }

    /** The first answer of a call that may run once is lost, and the mutant sends it again. */
    @Property(tries = 1, seed = "7001", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void detectsARetryAfterBytesWereWritten(@ForAll("hundredSchedules") List<List<ScenarioStep>> schedules) {
        RetryPolicy retriesAll = (_repeatable, failure) -> RetryPolicy.STANDARD.decide(true, failure);
        assertDetected(
                schedules, new RequestPolicies(retriesAll, AttemptTracker::runState, ChunkMatcher.BY_ATTEMPT_ID, true));
    }

    /** Two instances get one key, and the mutant sends before the log has said which of them was first. */
    @Property(tries = 1, seed = "7002", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void detectsASendBeforeTheClaimIsReadBack(@ForAll("hundredSchedules") List<List<ScenarioStep>> schedules) {
        assertDetected(
                schedules,
                new RequestPolicies(RetryPolicy.STANDARD, AttemptTracker::runState, ChunkMatcher.BY_ATTEMPT_ID, false));
    }

    /** Connections cross, and the mutant takes what comes for its own. */
    @Property(tries = 1, seed = "7003", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void detectsMatchingChunksByConnection(@ForAll("hundredSchedules") List<List<ScenarioStep>> schedules) {
        assertDetected(
                schedules,
                new RequestPolicies(
                        RetryPolicy.STANDARD, AttemptTracker::runState, (_attemptId, _chunk) -> true, true));
    }

    /** An answer is lost after the run, and the mutant says "not run" of whatever it refuses. */
    @Property(tries = 1, seed = "7004", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void detectsRefusalsThatAlwaysSayNotRun(@ForAll("hundredSchedules") List<List<ScenarioStep>> schedules) {
        assertDetected(
                schedules,
                new RequestPolicies(
                        RetryPolicy.STANDARD, _ledger -> RunState.NOT_RUN, ChunkMatcher.BY_ATTEMPT_ID, true));
    }

    private static void assertDetected(List<List<ScenarioStep>> schedules, RequestPolicies mutant) {
        boolean detected = schedules.stream()
                .anyMatch(schedule -> !run(schedule, 7, mutant).held());
        assertTrue(detected, "the mutant passed a hundred schedules");
    }

    private static HistoryVerdict run(List<ScenarioStep> schedule, long seed, RequestPolicies policies) {
        RequestSimulation simulation = new RequestSimulation(seed, policies);
        int number = 0;
        for (ScenarioStep each : schedule) {
            simulation.advanceMillis(each.afterMillis());
            each.apply(simulation, number++);
        }
        simulation.advanceMillis(SETTLE_MILLIS);
        return HistoryChecks.standard()
                .judge(
                        simulation.history(),
                        org.dogwoodwinch.history.Property.WHOLE_ANSWER_TO_ITS_CALLER,
                        org.dogwoodwinch.history.Property.NOT_RUN_IS_TRUE,
                        org.dogwoodwinch.history.Property.AT_MOST_ONCE);
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs().between(1, 1_000_000);
    }

    @Provide
    Arbitrary<List<List<ScenarioStep>>> hundredSchedules() {
        return schedules().list().ofSize(100);
    }

    @Provide
    Arbitrary<List<ScenarioStep>> schedules() {
        Arbitrary<ScenarioStep.Kind> kinds = Arbitraries.frequencyOf(
                Tuple.of(1, Arbitraries.of(ScenarioStep.Kind.values())),
                Tuple.of(1, Arbitraries.of(ScenarioStep.requestKinds())));
        return Combinators.combine(
                        kinds,
                        Arbitraries.longs().between(0, 600),
                        Arbitraries.integers().between(0, 5),
                        Arbitraries.integers().between(0, 7))
                .as(ScenarioStep::new)
                .list()
                .ofMinSize(4)
                .ofMaxSize(14);
    }
}
