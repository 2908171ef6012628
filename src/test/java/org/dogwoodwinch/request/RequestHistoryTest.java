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
 * Sends requests with and without idempotency keys, and repeatable ones, through three instances under injected faults:
 * processes are killed and paused, links to engines and to the log break, answers are lost, duplicated, reordered and
 * misrouted, engines crash, and the log becomes unavailable. Under every schedule, a request that is not repeatable
 * runs at most once, "not run" is only reported if it is true, an answer is complete and belongs to its request, and
 * every call ends. The attempt tracker, the claims and the token sequence numbers ensure this.
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

    /** Schedules that never refuse or resend a request would not test the properties. */
    @AfterContainer
    static void eachPropertyWasCheckedOftenEnough() {
        for (long checked : CHECKED_COUNTS) {
            assertTrue(
                    checked >= MIN_CHECKED,
                    () -> "times each property was checked: " + Arrays.toString(CHECKED_COUNTS));
        }
    }

    /** The mutant retries a request that is not repeatable after its answer was lost. */
    @Property(tries = 1, seed = "7001", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void detectsARetryAfterBytesWereWritten(@ForAll("hundredSchedules") List<List<ScenarioStep>> schedules) {
        RetryPolicy retriesAll = (_repeatable, failure) -> RetryPolicy.STANDARD.decide(true, failure);
        assertDetected(
                schedules, new RequestPolicies(retriesAll, AttemptTracker::runState, ChunkMatcher.BY_ATTEMPT_ID, true));
    }

    /** The mutant sends the request before the log shows which of two claims of the same key is first. */
    @Property(tries = 1, seed = "7002", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void detectsASendBeforeTheClaimIsReadBack(@ForAll("hundredSchedules") List<List<ScenarioStep>> schedules) {
        assertDetected(
                schedules,
                new RequestPolicies(RetryPolicy.STANDARD, AttemptTracker::runState, ChunkMatcher.BY_ATTEMPT_ID, false));
    }

    /** The mutant accepts misrouted chunks of other attempts. */
    @Property(tries = 1, seed = "7003", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void detectsMatchingChunksByConnection(@ForAll("hundredSchedules") List<List<ScenarioStep>> schedules) {
        assertDetected(
                schedules,
                new RequestPolicies(
                        RetryPolicy.STANDARD, AttemptTracker::runState, (_attemptId, _chunk) -> true, true));
    }

    /** The mutant reports "not run" in every refusal, even if the answer was lost after the request ran. */
    @Property(tries = 1, seed = "7004", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void detectsRefusalsThatAlwaysSayNotRun(@ForAll("hundredSchedules") List<List<ScenarioStep>> schedules) {
        assertDetected(
                schedules,
                new RequestPolicies(
                        RetryPolicy.STANDARD, _attempts -> RunState.NOT_RUN, ChunkMatcher.BY_ATTEMPT_ID, true));
    }

    private static void assertDetected(List<List<ScenarioStep>> schedules, RequestPolicies mutant) {
        boolean detected = schedules.stream()
                .anyMatch(schedule -> !run(schedule, 7, mutant).held());
        assertTrue(detected, "the mutant was not detected in 100 schedules");
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
