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
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineChooserTest {

    private static final ServiceEntry SERVICE =
            new ServiceEntry("s", 360, Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000, 3_000)));

    private final TargetRateLimits limits = NoRateLimits.create();
    private final TargetDirectory directory = new TargetDirectory(new TargetHealth(() -> 0), limits, NoRests.create());
    private final LoadTracker loads = new LoadTracker();
    private final KvCacheIndex cacheIndex = new KvCacheIndex();
    private Function<Incarnation, TargetStanding> standings = TargetStanding.ALL_EQUAL;

    @BeforeEach
    void registerEngines() {
        for (int i = 0; i < 3; i++) {
            register("p" + i, Stage.PREFILL, 10 + i);
        }
        for (int i = 0; i < 5; i++) {
            register("d" + i, Stage.DECODE, 20 + i);
        }
    }

    private void register(String id, Stage stage, long offset) {
        directory.apply(id, offset, Optional.of(new Incarnation(id, "s", "10.0.0.1", 80, "dc", 64, false, stage, 1)));
    }

    private EngineChooser chooser(long seed) {
        return chooser(seed, List.of());
    }

    private EngineChooser chooser(long seed, List<ServiceRoute> streamRoutes) {
        return new EngineChooser(
                directory,
                loads,
                cacheIndex,
                new PrefillRates(30),
                EngineCostModel.DEFAULT,
                new StreamStallCost(_service -> streamRoutes),
                standings,
                new LeastLoadedChooser(directory, loads, RandomSource.XO_RO_SHI_RO_128_PP.create(seed)),
                "dc");
    }

    private static TargetQuery query(String sharedSegment, String ownSegment, String... triedTargetIds) {
        Prompt prompt = new Prompt(
                "m",
                17_000,
                20,
                List.of(new PromptSegment(sharedSegment, 13_000), new PromptSegment(ownSegment, 4_000)));
        return new TargetQuery(SERVICE, Optional.of(prompt), 1, 5_000, 0, Set.of(triedTargetIds), true);
    }

    private static String prefillTargetId(ForwardingPlan plan) {
        return plan.prefillTarget().orElseGet(plan::target).id();
    }

    /** Two instances that have no information from each other must prefill a shared segment on the same engine. */
    @Test
    void instancesChooseSameAffinityEngine() {
        for (int i = 0; i < 50; i++) {
            ForwardingPlan firstPlan =
                    chooser(1).choose(query("part" + i, "x" + i)).orElseThrow();
            ForwardingPlan secondPlan =
                    chooser(2).choose(query("part" + i, "y" + i)).orElseThrow();
            assertEquals(prefillTargetId(firstPlan), prefillTargetId(secondPlan));
        }
    }

    /** A long prefill on a decode engine delays all streams that it decodes. */
    @Test
    void affinityEnginesOfLongSegmentsAreSpreadOverPrefillEngines() {
        Map<String, Integer> countByPrefillTarget = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            countByPrefillTarget.merge(
                    prefillTargetId(chooser(1).choose(query("part" + i, "x")).orElseThrow()), 1, Integer::sum);
        }
        assertEquals(Set.of("p0", "p1", "p2"), countByPrefillTarget.keySet());
        countByPrefillTarget.values().forEach(count -> assertTrue(count > 60, countByPrefillTarget::toString));
    }

    /** Segments of an unavailable engine move to others; all other segments stay where they were prefilled. */
    @Test
    void unavailableEngineMovesOnlyItsOwnSegments() {
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            String before =
                    prefillTargetId(chooser(1).choose(query("part" + i, "x")).orElseThrow());
            String after = prefillTargetId(
                    chooser(1).choose(query("part" + i, "x", "p0")).orElseThrow());
            if (before.equals("p0")) {
                moved++;
            } else {
                assertEquals(before, after);
            }
        }
        assertTrue(moved > 0);
    }

    /** A fetch takes milliseconds and a prefill hundreds of them, so only the call's own tokens are prefilled. */
    @Test
    void segmentCachedOnAnotherEngineIsFetched() {
        cacheIndex.setCachedTokens("d3", "part", 13_000);

        ForwardingPlan plan = chooser(1).choose(query("part", "x")).orElseThrow();

        assertEquals(4_000, plan.prefillWork().prefillTokens());
        assertEquals(
                "d3", plan.prefillWork().cacheSource().map(Incarnation::id).orElseGet(() -> prefillTargetId(plan)));
    }

    @Test
    void engineWithCachedSegmentFetchesNothing() {
        cacheIndex.setCachedTokens("p1", "part", 13_000);

        ForwardingPlan plan = chooser(1).choose(query("part", "x")).orElseThrow();

        assertEquals("p1", prefillTargetId(plan));
        assertEquals(Optional.empty(), plan.prefillWork().cacheSource());
    }

    /** A prefill of few tokens is faster than a fetch. */
    @Test
    void shortSegmentIsPrefilledInsteadOfFetched() {
        Prompt prompt = new Prompt("m", 300, 20, List.of(new PromptSegment("short", 200), new PromptSegment("x", 100)));
        cacheIndex.setCachedTokens("d3", "short", 200);

        ForwardingPlan plan = chooser(1)
                .choose(new TargetQuery(SERVICE, Optional.of(prompt), 0, 500, 0, Set.of("d3"), true))
                .orElseThrow();

        assertEquals(Optional.empty(), plan.prefillWork().cacheSource());
        assertEquals(300, plan.prefillWork().prefillTokens());
    }

    /** Only lower-priority prompts wait at the affinity engine, which prefills the urgent call before them. */
    @Test
    void queuedLowerPriorityPromptsDoNotMoveUrgentCall() {
        String affinityEngineId =
                prefillTargetId(chooser(1).choose(query("part", "x")).orElseThrow());
        PrefillQueue lowerPriorityQueue =
                PrefillQueue.of(List.of(0L, 0L, 0L, 0L, 0L, 0L, 200_000L), List.of(0, 0, 0, 0, 0, 0, 400));
        loads.replacePeerLoads("peer", Map.of(affinityEngineId, new TargetLoad(400, lowerPriorityQueue)));

        assertEquals(
                affinityEngineId,
                prefillTargetId(chooser(1).choose(query("part", "x")).orElseThrow()));
    }

    /** All engines are too busy for the objective, so the call is placed behind those that can still be on time. */
    @Test
    void lateCallGetsLevelBehindCallsOnTime() {
        assertEquals(
                QueueLevel.onTime(1),
                chooser(1).choose(query("a", "x")).orElseThrow().prefillWork().level());
        Map<String, TargetLoad> busy = new HashMap<>();
        directory.all().forEach(engine -> busy.put(engine.id(), new TargetLoad(9, PrefillQueue.ofPrompt(0, 900_000))));
        loads.replacePeerLoads("peer", busy);

        assertEquals(
                QueueLevel.late(1),
                chooser(1).choose(query("a", "x")).orElseThrow().prefillWork().level());
    }

    /** A prompt treated as late because of its length would never be prefilled while shorter ones arrive. */
    @Test
    void longPromptIsNotLateBecauseOfItsLength() {
        ForwardingPlan plan = chooser(1).choose(longCall(60_000)).orElseThrow();

        assertEquals(QueueLevel.onTime(1), plan.prefillWork().level());
    }

    private static TargetQuery longCall(int tokens) {
        Prompt prompt = new Prompt("m", tokens, 20, List.of(new PromptSegment("x", tokens)));
        return new TargetQuery(SERVICE, Optional.of(prompt), 1, 500, 0, Set.of(), true);
    }

    /** The prompt was already prefilled separately once, so the target that runs the call now also prefills it. */
    @Test
    void callWithoutSeparatePrefillIsPrefilledWhereItRuns() {
        TargetQuery query = query("part", "x");
        ForwardingPlan plan = chooser(1)
                .choose(new TargetQuery(SERVICE, query.prompt(), 1, 5_000, 0, Set.of(), false))
                .orElseThrow();

        assertEquals(Optional.empty(), plan.prefillTarget());
        assertEquals(Stage.DECODE, plan.target().stage());
    }

    /** The queue at the affinity engine is so long that a prefill elsewhere is faster, even with its extra cost. */
    @Test
    void overloadedAffinityEngineIsNotChosen() {
        String affinityEngineId =
                prefillTargetId(chooser(1).choose(query("part", "x")).orElseThrow());
        loads.replacePeerLoads(
                "peer", Map.of(affinityEngineId, new TargetLoad(30, PrefillQueue.ofPrompt(0, 5_000_000))));

        assertFalse(affinityEngineId.equals(
                prefillTargetId(chooser(1).choose(query("part", "x")).orElseThrow())));
    }

    @Test
    void decodeTargetIsTheLeastLoadedEngine() {
        for (int i = 0; i < 5; i++) {
            if (i != 2) {
                loads.recordSend("d" + i, 0, 10_000);
            }
        }
        Incarnation prefillTarget = directory.find("p0").orElseThrow();

        assertEquals(
                "d2",
                chooser(1)
                        .chooseDecodeTarget(query("a", "b"), prefillTarget)
                        .orElseThrow()
                        .id());
    }

    @Test
    void noPlanWithoutDecodeEngine() {
        assertTrue(
                chooser(1).choose(query("a", "b", "d0", "d1", "d2", "d3", "d4")).isEmpty());
    }

    /**
     * The idle decode engines would be 400 ms faster, but a prefill there exceeds the gap that their streams accept.
     */
    @Test
    void longPromptIsNotPrefilledBesideStreamsWithGapObjective() {
        for (int i = 0; i < 3; i++) {
            loads.recordSend("p" + i, 0, 12_000);
            cacheIndex.setCachedTokens("d" + i, "shared", 13_000);
        }
        for (int i = 0; i < 5; i++) {
            loads.recordSend("d" + i, 0, 0);
        }
        TargetQuery query = query("shared", "own");

        assertTrue(chooser(1, List.of(StreamRoutes.route("chat", 0, 300, 3_000, 0)))
                .choose(query)
                .orElseThrow()
                .prefillTarget()
                .isEmpty());
        assertTrue(chooser(1, List.of(StreamRoutes.route("chat", 0, 300, 3_000, 150)))
                .choose(query)
                .orElseThrow()
                .prefillTarget()
                .isPresent());
    }

    /** A long prompt waits for a prefill engine until the wait costs more than the streams beside it would lose. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, true",
        "0, 60000, false",
        "1, 60000, true",
        "1, 120000, false",
        "3, 120000, true",
        "3, 400000, false"
    })
    void longPromptWaitsForAsLongAsStreamsWouldLose(int streams, int queuedTokens, boolean waits) {
        // A late stream loses 1,500 ms; 30 tokens take 1 ms at an engine that prefills only.
        List<ServiceRoute> routes = List.of(StreamRoutes.route("chat", 0, 500, 3_500, 250));
        Map<String, TargetLoad> busy = new HashMap<>();
        for (int i = 0; i < 3; i++) {
            busy.put("p" + i, new TargetLoad(1, PrefillQueue.ofPrompt(0, queuedTokens + 1_000 * i)));
        }
        for (int i = 0; i < 5; i++) {
            busy.put("d" + i, new TargetLoad(streams, PrefillQueue.EMPTY));
        }
        loads.replacePeerLoads("peer", busy);
        Prompt prompt = new Prompt("m", 6_000, 20, List.of(new PromptSegment("own", 6_000)));
        TargetQuery query = new TargetQuery(SERVICE, Optional.of(prompt), 1, 500, 250, Set.of(), true);

        ForwardingPlan plan = chooser(1, routes).choose(query).orElseThrow();

        assertEquals(waits, plan.prefillTarget().isPresent());
    }

    /** Failure: all calls that share a segment wait for one slow engine, since it is their affinity engine. */
    @Test
    void slowAffinityEngineIsNotChosen() {
        String affinityEngineId =
                prefillTargetId(chooser(1).choose(query("part", "x")).orElseThrow());

        standings = engine -> engine.id().equals(affinityEngineId) ? new TargetStanding(8, 0) : TargetStanding.EQUAL;

        assertNotEquals(
                affinityEngineId,
                prefillTargetId(chooser(1).choose(query("part", "x")).orElseThrow()));
    }

    /** Failure: an engine that fails its calls at once has the lowest load, and receives most calls. */
    @Test
    void slowOrFailingEngineDoesNotDecodeWhileOthersAreLittleLoaded() {
        for (int i = 2; i < 5; i++) {
            loads.recordSend("d" + i, 0, 0);
        }
        standings = engine -> switch (engine.id()) {
            case "d0" -> new TargetStanding(1, 0.5);
            case "d1" -> new TargetStanding(4, 0);
            default -> TargetStanding.EQUAL;
        };
        List<ServiceRoute> routes = List.of(StreamRoutes.route("chat", 0, 300, 3_000, 0));

        String decodeTargetId = chooser(1, routes)
                .chooseDecodeTarget(query("a", "b"), directory.find("p0").orElseThrow())
                .orElseThrow()
                .id();

        assertTrue(Set.of("d2", "d3", "d4").contains(decodeTargetId), decodeTargetId);
    }

    /** A short prefill fits into a gap, so a decode engine with streams may do it. */
    @Test
    void shortPromptIsPrefilledWhereItRuns() {
        loads.recordSend("d0", 0, 0);
        Prompt prompt = new Prompt("m", 400, 5, List.of(new PromptSegment("q", 400)));
        TargetQuery query = new TargetQuery(SERVICE, Optional.of(prompt), 0, 250, 150, Set.of(), true);
        List<ServiceRoute> routes = List.of(StreamRoutes.route("chat", 0, 300, 3_000, 150));
        assertTrue(
                chooser(1, routes).choose(query).orElseThrow().prefillTarget().isEmpty());
    }

    /** The segment moves with all its calls, not only with those that find no share of the limit left. */
    @Test
    void affinityEngineChangesWhenItStatesARateLimit() {
        String affinityEngineId =
                prefillTargetId(chooser(1).choose(query("part", "x")).orElseThrow());

        limits.recordAnswer(affinityEngineId, OptionalDouble.of(1_000), 0);
        String newAffinityEngineId =
                prefillTargetId(chooser(1).choose(query("part", "x")).orElseThrow());

        assertNotEquals(affinityEngineId, newAffinityEngineId);
        for (int i = 0; i < 50; i++) {
            assertEquals(
                    newAffinityEngineId,
                    prefillTargetId(chooser(i).choose(query("part", "y" + i)).orElseThrow()));
        }
    }

    /** Fetching segments from a rate-limited engine does not count as a call to it. */
    @Test
    void segmentCachedOnRateLimitedEngineIsFetched() {
        cacheIndex.recordPrefill(
                "p0",
                new Prompt("m", 17_000, 20, List.of(new PromptSegment("part", 13_000), new PromptSegment("o", 4_000))));
        limits.recordAnswer("p0", OptionalDouble.of(2), 0);

        ForwardingPlan plan = chooser(1).choose(query("part", "x")).orElseThrow();

        assertNotEquals("p0", prefillTargetId(plan));
        assertEquals("p0", plan.prefillWork().cacheSource().orElseThrow().id());
    }

    @Test
    void noPlanUntilNextCapacityWhenAllEnginesAreExhausted() {
        for (int i = 0; i < 5; i++) {
            limits.recordAnswer("d" + i, OptionalDouble.of(4 + i), 0);
        }
        for (int i = 0; i < 3; i++) {
            limits.recordAnswer("p" + i, OptionalDouble.of(5), 0);
        }

        assertEquals(Optional.empty(), chooser(1).choose(query("part", "x")));
        assertEquals(125, chooser(1).millisUntilCapacity(query("part", "x")));
    }
}
