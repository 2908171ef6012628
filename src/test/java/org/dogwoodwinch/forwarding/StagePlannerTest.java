package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class StagePlannerTest {

    private static final long STEP_MILLIS = 250;

    private final StagePlanner planner = new StagePlanner(StagePlanPolicy.DEFAULT, new PrefillRates(30));
    private final List<Incarnation> engines = new ArrayList<>();
    private final Map<String, TargetLoad> loads = new HashMap<>();
    private final Set<String> limitedEngineIds = new HashSet<>();
    private long nowMillis;

    private void engines(int prefillCount, int decodeCount) {
        for (int i = 0; i < prefillCount + decodeCount; i++) {
            Stage stage = i < prefillCount ? Stage.PREFILL : Stage.DECODE;
            engines.add(new Incarnation("e" + i, "s", "10.0.0.1", 80, "dc", 24, false, stage, 1));
        }
    }

    private void load(Stage stage, int calls, long unreadTokens) {
        engines.stream()
                .filter(engine -> engine.stage() == stage)
                .forEach(engine ->
                        loads.put(engine.id(), new TargetLoad(calls, PrefillQueue.ofPrompt(0, unreadTokens))));
    }

    private Optional<StagePlanner.StageChange> planFor(long millis) {
        Optional<StagePlanner.StageChange> change = Optional.empty();
        for (long end = nowMillis + millis; nowMillis < end && change.isEmpty(); nowMillis += STEP_MILLIS) {
            change = planner.planChange(
                    engines,
                    engine -> limitedEngineIds.contains(engine.id()),
                    id -> loads.getOrDefault(id, TargetLoad.EMPTY),
                    _id -> true,
                    nowMillis);
        }
        return change;
    }

    /**
     * Prompts waited 400 ms at the prefill engines while decode engines were nearly idle, and the split never
     * changed.
     */
    @Test
    void waitingPromptsAddAPrefillEngine() {
        engines(3, 5);
        load(Stage.PREFILL, 4, 12_000);
        load(Stage.DECODE, 2, 300);

        StagePlanner.StageChange change = planFor(3_000).orElseThrow();
        assertEquals(Stage.PREFILL, change.stage());
        assertEquals(Stage.DECODE, change.engine().stage());
    }

    /** A burst of one second is over before an engine has changed its stage. */
    @Test
    void shortBurstCausesNoChange() {
        engines(3, 5);
        load(Stage.DECODE, 2, 0);
        planFor(10_000);
        load(Stage.PREFILL, 4, 1_500);
        assertTrue(planFor(750).isEmpty());
        load(Stage.PREFILL, 0, 0);
        assertTrue(planFor(10_000).isEmpty());
    }

    /** Prompts wait at both stages, and a changing engine would be unavailable for seconds without any gain. */
    @Test
    void noChangeWhenBothStagesAreBusy() {
        engines(3, 5);
        load(Stage.PREFILL, 10, 12_000);
        load(Stage.DECODE, 10, 6_000);
        assertTrue(planFor(20_000).isEmpty());
    }

    /** With long answers, all decode slots are in use while the prefill engines are idle. */
    @Test
    void fullDecodeSlotsAddADecodeEngine() {
        engines(5, 3);
        load(Stage.DECODE, 24, 0);
        assertEquals(Stage.DECODE, planFor(8_000).orElseThrow().stage());
    }

    /** A crash must not interrupt the service, so some decode engines and one prefill engine always remain. */
    @Test
    void minimumOfEachStageIsKept() {
        engines(5, 3);
        load(Stage.PREFILL, 4, 60_000);
        assertTrue(planFor(20_000).isEmpty());
        engines.clear();
        loads.clear();
        engines(1, 7);
        load(Stage.DECODE, 24, 60_000);
        assertTrue(planFor(20_000).isEmpty());
    }

    @Test
    void smallServiceChangesOneEngineAtATime() {
        engines(3, 5);
        load(Stage.PREFILL, 4, 12_000);
        planner.recordOrdered(planFor(3_000).orElseThrow(), 3_000, nowMillis);
        assertTrue(planFor(4_250).isEmpty());
        assertTrue(planFor(1_000).isPresent());
    }

    /**
     * Of forty engines, five may change at the same time; one after another would be too slow for a shift of the
     * load.
     */
    @Test
    void largeServiceChangesSeveralEnginesAtATime() {
        engines(14, 26);
        load(Stage.PREFILL, 4, 12_000);
        planner.recordOrdered(planFor(3_000).orElseThrow(), 3_000, nowMillis);
        assertTrue(planFor(750).isEmpty());
        assertTrue(planFor(500).isPresent());
    }

    /** The fewest callers wait for the engine with the lowest load. */
    @Test
    void leastLoadedEngineIsChanged() {
        engines(3, 5);
        load(Stage.PREFILL, 4, 12_000);
        load(Stage.DECODE, 4, 0);
        loads.put("e6", new TargetLoad(1, PrefillQueue.EMPTY));
        assertEquals("e6", planFor(3_000).orElseThrow().engine().id());
    }

    /** Prefilled prompts had no engine to run on: callers were refused although nothing waited at any engine. */
    @Test
    void prefillEngineReplacesRateLimitedDecodeEngines() {
        engines(5, 3);
        limitedEngineIds.addAll(Set.of("e5", "e6", "e7"));

        StagePlanner.StageChange change = planFor(250).orElseThrow();
        assertEquals(Stage.DECODE, change.stage());
        planner.recordOrdered(change, 3_000, nowMillis);

        assertTrue(planFor(10_000).isEmpty(), "the ordered change is still pending");
        planner.recordRejected(change);
        assertTrue(planFor(250).isPresent());
    }

    @Test
    void decodeEngineReplacesRateLimitedPrefillEngines() {
        engines(2, 6);
        limitedEngineIds.addAll(Set.of("e0", "e1"));

        assertEquals(Stage.PREFILL, planFor(250).orElseThrow().stage());
    }

    /** Prompts wait, but all other decode engines are rate-limited, so the last one must not change. */
    @Test
    void lastDecodeEngineWithoutLimitIsKept() {
        engines(4, 5);
        limitedEngineIds.addAll(Set.of("e4", "e5", "e6", "e7"));
        load(Stage.PREFILL, 4, 60_000);

        assertTrue(planFor(20_000).isEmpty());
    }

    /** A rate-limited engine has few calls in flight and would otherwise always be the least loaded candidate. */
    @Test
    void rateLimitedEngineIsNotChanged() {
        engines(3, 5);
        limitedEngineIds.add("e4");
        load(Stage.PREFILL, 4, 12_000);
        load(Stage.DECODE, 4, 0);
        loads.put("e4", TargetLoad.EMPTY);

        assertNotEquals("e4", planFor(3_000).orElseThrow().engine().id());
    }

    /** Half of the engines are rate-limited; the others are split so that each stage keeps one. */
    @Test
    void lastPrefillEngineIsKeptWhenAnotherEngineDecodes() {
        engines(2, 2);
        limitedEngineIds.addAll(Set.of("e0", "e2"));

        assertTrue(planFor(20_000).isEmpty());
    }
}
