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

    private final StagePlanner planner = new StagePlanner(StagePlanPolicy.STANDARD, new ReadRates(30));
    private final List<Incarnation> engines = new ArrayList<>();
    private final Map<String, TargetLoad> loads = new HashMap<>();
    private final Set<String> limited = new HashSet<>();
    private long nowMillis;

    private void engines(int readers, int generators) {
        for (int i = 0; i < readers + generators; i++) {
            Stage stage = i < readers ? Stage.PREFILL : Stage.DECODE;
            engines.add(new Incarnation("e" + i, "s", "10.0.0.1", 80, "dc", 24, false, stage, 1));
        }
    }

    private void load(Stage stage, int calls, long unreadTokens) {
        engines.stream()
                .filter(engine -> engine.stage() == stage)
                .forEach(engine -> loads.put(engine.id(), new TargetLoad(calls, ReadQueue.one(0, unreadTokens))));
    }

    private Optional<StagePlanner.Change> after(long millis) {
        Optional<StagePlanner.Change> change = Optional.empty();
        for (long end = nowMillis + millis; nowMillis < end && change.isEmpty(); nowMillis += STEP_MILLIS) {
            change = planner.plan(
                    engines,
                    engine -> limited.contains(engine.id()),
                    id -> loads.getOrDefault(id, TargetLoad.EMPTY),
                    _id -> true,
                    nowMillis);
        }
        return change;
    }

    /**
     * Long prompts wait 400 ms at the engines that read, while those that generate are nearly idle. Their callers were
     * late all day, as nothing ever changed the split that the engines came with.
     */
    @Test
    void promptsThatWaitGetAnotherReader() {
        engines(3, 5);
        load(Stage.PREFILL, 4, 12_000);
        load(Stage.DECODE, 2, 300);

        StagePlanner.Change change = after(3_000).orElseThrow();
        assertEquals(Stage.PREFILL, change.stage());
        assertEquals(Stage.DECODE, change.engine().stage());
    }

    /** A crowd of a second is over before an engine has changed. */
    @Test
    void aShortCrowdChangesNothing() {
        engines(3, 5);
        load(Stage.DECODE, 2, 0);
        after(10_000);
        load(Stage.PREFILL, 4, 1_500);
        assertTrue(after(750).isEmpty());
        load(Stage.PREFILL, 0, 0);
        assertTrue(after(10_000).isEmpty());
    }

    /** Prompts wait everywhere: an engine that changes is away for seconds and brings nothing. */
    @Test
    void whereBothStagesAreBusyNothingChanges() {
        engines(3, 5);
        load(Stage.PREFILL, 10, 12_000);
        load(Stage.DECODE, 10, 6_000);
        assertTrue(after(20_000).isEmpty());
    }

    /** Answers grow long: the engines that generate are full, and those that read are idle. */
    @Test
    void longAnswersGetAnotherGenerator() {
        engines(5, 3);
        load(Stage.DECODE, 24, 0);
        assertEquals(Stage.DECODE, after(8_000).orElseThrow().stage());
    }

    /** Whatever is asked, some engines generate and one reads: a crash must not end the service. */
    @Test
    void neitherStageIsEmptied() {
        engines(5, 3);
        load(Stage.PREFILL, 4, 60_000);
        assertTrue(after(20_000).isEmpty());
        engines.clear();
        loads.clear();
        engines(1, 7);
        load(Stage.DECODE, 24, 60_000);
        assertTrue(after(20_000).isEmpty());
    }

    @Test
    void oneEngineIsAwayAtATime() {
        engines(3, 5);
        load(Stage.PREFILL, 4, 12_000);
        planner.ordered(after(3_000).orElseThrow(), 3_000, nowMillis);
        assertTrue(after(4_250).isEmpty());
        assertTrue(after(1_000).isPresent());
    }

    /** Of forty engines five may be away at once: one after the other, a shift of the mix would be over before. */
    @Test
    void ofManyEnginesSeveralAreAway() {
        engines(14, 26);
        load(Stage.PREFILL, 4, 12_000);
        planner.ordered(after(3_000).orElseThrow(), 3_000, nowMillis);
        assertTrue(after(750).isEmpty());
        assertTrue(after(500).isPresent());
    }

    /** The engine with the least under way is the one that fewest callers wait for. */
    @Test
    void theEngineWithTheLeastUnderWayChanges() {
        engines(3, 5);
        load(Stage.PREFILL, 4, 12_000);
        load(Stage.DECODE, 4, 0);
        loads.put("e6", new TargetLoad(1, ReadQueue.EMPTY));
        assertEquals("e6", after(3_000).orElseThrow().engine().id());
    }

    /** What was read had nowhere to run: callers were refused while readers had room, and nothing waited anywhere. */
    @Test
    void generatorsThatNameALimitAreReplacedByAReader() {
        engines(5, 3);
        limited.addAll(Set.of("e5", "e6", "e7"));

        StagePlanner.Change change = after(250).orElseThrow();
        assertEquals(Stage.DECODE, change.stage());
        planner.ordered(change, 3_000, nowMillis);

        assertTrue(after(10_000).isEmpty(), "it is on its way, with what it runs to be finished first");
        planner.notTaken(change);
        assertTrue(after(250).isPresent());
    }

    @Test
    void readersThatNameALimitAreReplacedByAGenerator() {
        engines(2, 6);
        limited.addAll(Set.of("e0", "e1"));

        assertEquals(Stage.PREFILL, after(250).orElseThrow().stage());
    }

    /** Prompts wait, and of the engines that generate all but one take next to nothing: that one may not leave. */
    @Test
    void theLastGeneratorWithoutALimitStays() {
        engines(4, 5);
        limited.addAll(Set.of("e4", "e5", "e6", "e7"));
        load(Stage.PREFILL, 4, 60_000);

        assertTrue(after(20_000).isEmpty());
    }

    /** What takes next to nothing has next to nothing under way, and would always be the one that changes. */
    @Test
    void anEngineThatNamesALimitIsNotTheOneThatChanges() {
        engines(3, 5);
        limited.add("e4");
        load(Stage.PREFILL, 4, 12_000);
        load(Stage.DECODE, 4, 0);
        loads.put("e4", TargetLoad.EMPTY);

        assertNotEquals("e4", after(3_000).orElseThrow().engine().id());
    }

    /** Half of the engines name a limit: those left are split so that both stages have one. */
    @Test
    void theLastReaderStaysWhereAnotherEngineGenerates() {
        engines(2, 2);
        limited.addAll(Set.of("e0", "e2"));

        assertTrue(after(20_000).isEmpty());
    }
}
