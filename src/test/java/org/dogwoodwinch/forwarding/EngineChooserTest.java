package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineChooserTest {

    private static final ServiceEntry SERVICE =
            new ServiceEntry("s", 360, Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000, 3_000)));

    private final TargetLimits limits = NoLimits.book();
    private final TargetDirectory directory = new TargetDirectory(new TargetHealth(() -> 0), limits);
    private final LoadBook loads = new LoadBook();
    private final PartIndex parts = new PartIndex();

    @BeforeEach
    void listEngines() {
        for (int i = 0; i < 3; i++) {
            list("p" + i, Stage.PREFILL, 10 + i);
        }
        for (int i = 0; i < 5; i++) {
            list("d" + i, Stage.DECODE, 20 + i);
        }
    }

    private void list(String id, Stage stage, long offset) {
        directory.apply(id, offset, Optional.of(new Incarnation(id, "s", "10.0.0.1", 80, "dc", 64, false, stage, 1)));
    }

    private EngineChooser chooser(long seed) {
        return new EngineChooser(
                directory,
                loads,
                parts,
                new ReadRates(30),
                EngineChoicePolicy.STANDARD,
                new LeastLoadedChooser(directory, loads, RandomSource.XO_RO_SHI_RO_128_PP.create(seed)),
                "dc");
    }

    private static ChoiceQuery query(String shared, String own, String... tried) {
        Prompt prompt =
                new Prompt("m", 17_000, 20, List.of(new PromptPart(shared, 13_000), new PromptPart(own, 4_000)));
        return new ChoiceQuery(SERVICE, Optional.of(prompt), 1, 5_000, 0, Set.of(tried), true);
    }

    private static String reader(Plan plan) {
        return plan.prefill().orElseGet(plan::target).id();
    }

    /** Two instances that have never heard of each other read a shared part at one engine. */
    @Test
    void instancesAgreeOnAHomeWithoutAWord() {
        for (int i = 0; i < 50; i++) {
            Plan one = chooser(1).choose(query("part" + i, "x" + i)).orElseThrow();
            Plan other = chooser(2).choose(query("part" + i, "y" + i)).orElseThrow();
            assertEquals(reader(one), reader(other));
        }
    }

    /** A long prompt at an engine that generates holds up all that it runs. */
    @Test
    void homesOfLongPartsAreSpreadOverTheEnginesThatOnlyRead() {
        Map<String, Integer> readers = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            readers.merge(reader(chooser(1).choose(query("part" + i, "x")).orElseThrow()), 1, Integer::sum);
        }
        assertEquals(Set.of("p0", "p1", "p2"), readers.keySet());
        readers.values().forEach(count -> assertTrue(count > 60, readers::toString));
    }

    /** One engine goes: the parts whose home it was find others, all other parts stay where they were read. */
    @Test
    void whenAnEngineGoesOnlyItsOwnPartsMove() {
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            String before = reader(chooser(1).choose(query("part" + i, "x")).orElseThrow());
            String after =
                    reader(chooser(1).choose(query("part" + i, "x", "p0")).orElseThrow());
            if (before.equals("p0")) {
                moved++;
            } else {
                assertEquals(before, after);
            }
        }
        assertTrue(moved > 0);
    }

    /** Fetching the part takes milliseconds, reading it hundreds: only the call's own tokens are read. */
    @Test
    void aPartThatAnotherEngineKeepsIsFetchedFromIt() {
        parts.kept("d3", "part", 13_000);

        Plan plan = chooser(1).choose(query("part", "x")).orElseThrow();

        assertEquals(4_000, plan.reading().unreadTokens());
        assertEquals("d3", plan.reading().keeper().map(Incarnation::id).orElseGet(() -> reader(plan)));
    }

    @Test
    void whereThePartLiesNothingIsFetched() {
        parts.kept("p1", "part", 13_000);

        Plan plan = chooser(1).choose(query("part", "x")).orElseThrow();

        assertEquals("p1", reader(plan));
        assertEquals(Optional.empty(), plan.reading().keeper());
    }

    /** A few tokens are read sooner than the fetch takes. */
    @Test
    void whatIsSoonReadIsNotFetched() {
        Prompt prompt = new Prompt("m", 300, 20, List.of(new PromptPart("short", 200), new PromptPart("x", 100)));
        parts.kept("d3", "short", 200);

        Plan plan = chooser(1)
                .choose(new ChoiceQuery(SERVICE, Optional.of(prompt), 0, 500, 0, Set.of("d3"), true))
                .orElseThrow();

        assertEquals(Optional.empty(), plan.reading().keeper());
        assertEquals(300, plan.reading().unreadTokens());
    }

    /** Only less urgent prompts wait at the home; the engine takes the urgent call before them. */
    @Test
    void lessUrgentPromptsDoNotDriveAnUrgentCallAway() {
        String home = reader(chooser(1).choose(query("part", "x")).orElseThrow());
        ReadQueue crowd = ReadQueue.of(List.of(0L, 0L, 0L, 0L, 0L, 0L, 200_000L), List.of(0, 0, 0, 0, 0, 0, 400));
        loads.heard("peer", Map.of(home, new TargetLoad(400, crowd)));

        assertEquals(home, reader(chooser(1).choose(query("part", "x")).orElseThrow()));
    }

    /** All engines are too busy for the objective: the call stands behind those that can still make theirs. */
    @Test
    void aCallThatWillBeLateStandsBehindThoseInTime() {
        assertEquals(
                QueueLevel.onTime(1),
                chooser(1).choose(query("a", "x")).orElseThrow().reading().level());
        Map<String, TargetLoad> busy = new HashMap<>();
        directory.all().forEach(engine -> busy.put(engine.id(), new TargetLoad(9, ReadQueue.one(0, 900_000))));
        loads.heard("peer", busy);

        assertEquals(
                QueueLevel.late(1),
                chooser(1).choose(query("a", "x")).orElseThrow().reading().level());
    }

    /** A prompt that is long to read is not late for that: it would never be read while shorter ones come. */
    @Test
    void aLongPromptIsNotLateByItsOwnLength() {
        Plan plan = chooser(1).choose(longCall(60_000)).orElseThrow();

        assertEquals(QueueLevel.onTime(1), plan.reading().level());
    }

    private static ChoiceQuery longCall(int tokens) {
        Prompt prompt = new Prompt("m", tokens, 20, List.of(new PromptPart("x", tokens)));
        return new ChoiceQuery(SERVICE, Optional.of(prompt), 1, 500, 0, Set.of(), true);
    }

    /** Its prompt was read apart once: whoever runs it now reads it, too. */
    @Test
    void aCallThatMayNotBeReadApartIsReadWhereItRuns() {
        ChoiceQuery query = query("part", "x");
        Plan plan = chooser(1)
                .choose(new ChoiceQuery(SERVICE, query.prompt(), 1, 5_000, 0, Set.of(), false))
                .orElseThrow();

        assertEquals(Optional.empty(), plan.prefill());
        assertEquals(Stage.DECODE, plan.target().stage());
    }

    /** So much waits at the home that reading the part anew elsewhere is sooner, its price included. */
    @Test
    void aHomeThatIsOverwhelmedIsLeft() {
        String home = reader(chooser(1).choose(query("part", "x")).orElseThrow());
        loads.heard("peer", Map.of(home, new TargetLoad(30, ReadQueue.one(0, 5_000_000))));

        assertFalse(home.equals(reader(chooser(1).choose(query("part", "x")).orElseThrow())));
    }

    @Test
    void theRunnerIsTheOneWithTheLeastUnderWay() {
        for (int i = 0; i < 5; i++) {
            if (i != 2) {
                loads.sent("d" + i, 0, 10_000);
            }
        }
        Incarnation reader = directory.find("p0").orElseThrow();

        assertEquals(
                "d2",
                chooser(1).chooseRunner(query("a", "b"), reader).orElseThrow().id());
    }

    @Test
    void withoutAnEngineThatRunsThereIsNoPlan() {
        assertTrue(
                chooser(1).choose(query("a", "b", "d0", "d1", "d2", "d3", "d4")).isEmpty());
    }

    /**
     * The engines that only read have 400 ms of work before them, and the generating ones are free: read there, the prompt
     * would have its first event sooner. But it would stretch the pauses of each stream there beyond what their callers
     * accept, and make all of them late.
     */
    @Test
    void aLongPromptIsNotReadBesideStreamsThatWouldPauseTooLong() {
        for (int i = 0; i < 3; i++) {
            loads.sent("p" + i, 0, 12_000);
            parts.kept("d" + i, "shared", 13_000);
        }
        for (int i = 0; i < 5; i++) {
            loads.sent("d" + i, 0, 0);
        }
        ChoiceQuery query = query("shared", "own");
        ChoiceQuery careful = new ChoiceQuery(SERVICE, query.prompt(), 1, 5_000, 150, Set.of(), true);

        assertTrue(chooser(1).choose(query).orElseThrow().prefill().isEmpty());
        assertTrue(chooser(1).choose(careful).orElseThrow().prefill().isPresent());
    }

    /** A short prompt is read within a pause, beside streams as well as anywhere. */
    @Test
    void aShortPromptIsReadWhereItRuns() {
        loads.sent("d0", 0, 0);
        Prompt prompt = new Prompt("m", 400, 5, List.of(new PromptPart("q", 400)));
        ChoiceQuery query = new ChoiceQuery(SERVICE, Optional.of(prompt), 0, 250, 150, Set.of(), true);
        assertTrue(chooser(1).choose(query).orElseThrow().prefill().isEmpty());
    }

    /** The home moves with all its calls, not with those alone that find no share left. */
    @Test
    void aPartsHomeMovesFromAnEngineThatNamesALimit() {
        String home = reader(chooser(1).choose(query("part", "x")).orElseThrow());

        limits.answered(home, OptionalDouble.of(1_000), 0);
        String other = reader(chooser(1).choose(query("part", "x")).orElseThrow());

        assertNotEquals(home, other);
        for (int i = 0; i < 50; i++) {
            assertEquals(other, reader(chooser(i).choose(query("part", "y" + i)).orElseThrow()));
        }
    }

    /** What a limited engine keeps is fetched: that is no call to it. */
    @Test
    void whatALimitedEngineKeepsIsFetchedFromIt() {
        parts.read(
                "p0", new Prompt("m", 17_000, 20, List.of(new PromptPart("part", 13_000), new PromptPart("o", 4_000))));
        limits.answered("p0", OptionalDouble.of(2), 0);

        Plan plan = chooser(1).choose(query("part", "x")).orElseThrow();

        assertNotEquals("p0", reader(plan));
        assertEquals("p0", plan.reading().keeper().orElseThrow().id());
    }

    @Test
    void whereAllEnginesThatGenerateAreUsedUpThereIsNoTargetBeforeTheNextCallOfTheirs() {
        for (int i = 0; i < 5; i++) {
            limits.answered("d" + i, OptionalDouble.of(4 + i), 0);
        }
        for (int i = 0; i < 3; i++) {
            limits.answered("p" + i, OptionalDouble.of(5), 0);
        }

        assertEquals(Optional.empty(), chooser(1).choose(query("part", "x")));
        assertEquals(125, chooser(1).roomMillis(query("part", "x")));
    }
}
