package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineChooserTest {

    private static final ServiceEntry SERVICE =
            new ServiceEntry("s", 360, Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000)));

    private final TargetDirectory directory = new TargetDirectory();
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
        return new ChoiceQuery(SERVICE, Optional.of(prompt), Set.of(tried), 5_000, 0);
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

    @Test
    void homesAreSpreadOverAllEngines() {
        Set<String> readers = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            readers.add(reader(chooser(1).choose(query("part" + i, "x")).orElseThrow()));
        }
        assertEquals(8, readers.size());
    }

    /** One engine goes: the parts whose home it was find others, all other parts stay where they were read. */
    @Test
    void whenAnEngineGoesOnlyItsOwnPartsMove() {
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            String before = reader(chooser(1).choose(query("part" + i, "x")).orElseThrow());
            String after =
                    reader(chooser(1).choose(query("part" + i, "x", "d0")).orElseThrow());
            if (before.equals("d0")) {
                moved++;
            } else {
                assertEquals(before, after);
            }
        }
        assertTrue(moved > 0);
    }

    /** An engine that keeps the shared part is taken though it is not the part's home. */
    @Test
    void whereThePartLiesGoesBeforeItsHome() {
        String home = reader(chooser(1).choose(query("part", "x")).orElseThrow());
        String keeper = home.equals("d3") ? "d4" : "d3";
        parts.kept(keeper, "part", 13_000);

        assertEquals(keeper, reader(chooser(1).choose(query("part", "x")).orElseThrow()));
    }

    /** So much waits at the home that reading the part anew elsewhere is sooner, its price included. */
    @Test
    void aHomeThatIsOverwhelmedIsLeft() {
        String home = reader(chooser(1).choose(query("part", "x")).orElseThrow());
        loads.heard("peer", Map.of(home, new TargetLoad(30, 5_000_000)));

        assertFalse(home.equals(reader(chooser(1).choose(query("part", "x")).orElseThrow())));
    }

    @Test
    void theRunnerIsTheOneWithTheLeastUnderWay() {
        for (int i = 0; i < 5; i++) {
            if (i != 2) {
                loads.sent("d" + i, 10_000);
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
}
