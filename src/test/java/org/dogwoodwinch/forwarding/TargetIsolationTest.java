package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.TargetIsolation.Change;
import org.junit.jupiter.api.Test;

class TargetIsolationTest {

    private static final List<Incarnation> TARGETS = IntStream.range(0, 6)
            .mapToObj(i -> new Incarnation("t" + i, "desk", "10.0.0." + i, 80, "dc-" + i % 3, 6, false, Stage.WHOLE, 0))
            .toList();

    private final TargetIsolation isolation =
            new TargetIsolation(TARGETS::size, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

    private Change probe(long nowMillis, boolean answered) {
        Set<String> ids = Set.copyOf(isolation.startProbes(TARGETS, nowMillis).stream()
                .map(Incarnation::id)
                .toList());
        assertEquals(2, ids.size());
        return isolation.recordProbes(
                answered ? ids : Set.of(), answered ? Set.of() : ids, LinkDelay.NOT_MEASURED, nowMillis);
    }

    /** Guards against an instance that refuses all calls though only it is cut off. */
    @Test
    void refusedConnectionsOfSeveralTargetsAndProbesAreACut() {
        isolation.recordFailure("t0", 100);
        assertFalse(isolation.isProbeDue(100));
        isolation.recordFailure("t1", 110);
        assertTrue(isolation.isProbeDue(110));

        assertEquals(Change.NONE, probe(112, false));
        assertFalse(isolation.isProbeDue(361));
        assertEquals(Change.BEGAN, probe(362, false));

        assertTrue(isolation.isIsolated());
    }

    /** Guards against calls that wait until their deadline on connections that carry nothing. */
    @Test
    void silenceOfAllTargetsIsNoticedWithinASecondOfProbes() {
        isolation.recordSent("t0", 1_000);
        isolation.recordHeard(1_050);
        isolation.recordSent("t1", 1_100);
        assertFalse(isolation.isProbeDue(1_649));
        assertTrue(isolation.isProbeDue(1_650));
        assertEquals(Change.BEGAN, isolateAfterSilence(1_650));
    }

    private Change isolateAfterSilence(long nowMillis) {
        Change first = probe(nowMillis, false);
        return first == Change.NONE ? probe(nowMillis + 250, false) : first;
    }

    /** Guards against a sound instance that gives its calls away when a rack of targets crashes. */
    @Test
    void crashOfSomeTargetsIsNoCutWhileOthersAnswer() {
        for (int i = 0; i < 3; i++) {
            isolation.recordFailure("t" + i, 100);
        }
        assertTrue(isolation.isProbeDue(100));
        assertTrue(isolation.startProbes(TARGETS, 100).stream()
                .noneMatch(target -> target.id().compareTo("t3") < 0));
        assertEquals(Change.NONE, isolation.recordProbes(Set.of("t4"), Set.of("t5"), LinkDelay.NOT_MEASURED, 101));
        assertFalse(isolation.isIsolated());
        assertEquals(0, isolation.failedTargetsCount(101));
    }

    /** Guards against a cut that is not noticed because calls on old connections are still answered. */
    @Test
    void answersOnOldConnectionsDoNotHideThatNewOnesAreRefused() {
        isolation.recordFailure("t0", 100);
        isolation.recordHeard(105);
        isolation.recordFailure("t1", 300);
        isolation.recordHeard(305);
        assertTrue(isolation.isProbeDue(306));
        assertEquals(Change.NONE, probe(306, false));
        isolation.recordHeard(400);
        assertEquals(Change.BEGAN, probe(556, false));
    }

    /** Guards against a sound instance that takes one silent target for a cut. */
    @Test
    void silenceOfOneTargetIsNoCut() {
        for (int i = 0; i < 5; i++) {
            isolation.recordSent("t0", 100);
        }
        isolation.recordFailure("t0", 1_200);
        assertFalse(isolation.isProbeDue(1_500));
    }

    /** Guards against an instance that opens connections all the time because engines compute for long. */
    @Test
    void answeredProbesAreNotRepeatedAtOnce() {
        isolation.recordSent("t0", 0);
        isolation.recordSent("t1", 0);
        assertTrue(isolation.isProbeDue(600));
        assertEquals(Change.NONE, probe(600, true));
        assertFalse(isolation.isProbeDue(2_599));
        assertTrue(isolation.isProbeDue(2_600));
    }

    /** Guards against an instance that takes its calls back and loses them again. */
    @Test
    void cutEndsOnlyWhenAllProbesOfARoundAreAnswered() {
        refusedConnectionsOfSeveralTargetsAndProbesAreACut();
        assertFalse(isolation.isProbeDue(611));
        assertTrue(isolation.isProbeDue(612));
        isolation.startProbes(TARGETS, 612);
        assertFalse(isolation.isProbeDue(1_200));
        assertEquals(Change.NONE, isolation.recordProbes(Set.of("t1"), Set.of("t2"), LinkDelay.NOT_MEASURED, 700));
        assertFalse(isolation.isProbeDue(1_199));
        assertEquals(Change.ENDED, probe(1_200, true));
        assertFalse(isolation.isIsolated());
        assertFalse(isolation.isProbeDue(5_000));
    }

    @Test
    void endedCallsDoNotWait() {
        isolation.recordSent("t0", 100);
        isolation.recordSent("t1", 100);
        isolation.recordEnded("t0");
        isolation.recordEnded("t1");
        assertEquals(0, isolation.silentMillis(2_000));
        assertFalse(isolation.isProbeDue(2_000));
    }

    @Test
    void onlyTargetOfAFleetCanBeCutOff() {
        TargetIsolation single = new TargetIsolation(() -> 1, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        assertEquals(1, single.startProbes(TARGETS.subList(0, 1), 5).size());
        assertEquals(Change.BEGAN, single.recordProbes(Set.of(), Set.of("t0"), LinkDelay.NOT_MEASURED, 5));
    }

    /** Guards against a sound instance that believes itself cut off because seven of 41 targets crash at once. */
    @Test
    void crashOfSeveralTargetsIsHardlyEverACut() {
        List<Incarnation> targets = IntStream.range(0, 41)
                .mapToObj(
                        i -> new Incarnation("t" + i, "desk", "10.0.0.1", 80, "dc-" + i % 3, 6, false, Stage.WHOLE, 0))
                .toList();
        int cutsCount = 0;
        for (int seed = 1; seed <= 10_000; seed++) {
            TargetIsolation watched = new TargetIsolation(targets::size, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
            watched.recordFailure("t0", 0);
            watched.recordFailure("t1", 0);
            for (long nowMillis = 0; nowMillis < 1_000; nowMillis += 50) {
                if (watched.isProbeDue(nowMillis)) {
                    Map<Boolean, Set<String>> probed = watched.startProbes(targets, nowMillis).stream()
                            .map(Incarnation::id)
                            .collect(Collectors.partitioningBy(
                                    id -> Integer.parseInt(id.substring(1)) < 7, Collectors.toSet()));
                    watched.recordProbes(probed.get(false), probed.get(true), LinkDelay.NOT_MEASURED, nowMillis);
                }
            }
            cutsCount += watched.isIsolated() ? 1 : 0;
        }
        assertTrue(cutsCount <= 10, cutsCount + " of 10,000");
    }

    /** Guards against a sound instance that believes itself cut off because three engines fell silent at once. */
    @Property(seed = "7", tries = 200)
    void threeSilentTargetsAreNoCut(@ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        TargetIsolation watched = new TargetIsolation(TARGETS::size, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        Set<String> silent = Set.of("t0", "t2", "t5");
        for (long nowMillis = 0; nowMillis < 5_000; nowMillis += 100) {
            watched.recordSent("t0", nowMillis);
            watched.recordFailure("t2", nowMillis);
            watched.recordFailure("t5", nowMillis);
            if (watched.isProbeDue(nowMillis)) {
                Map<Boolean, Set<String>> probed = watched.startProbes(TARGETS, nowMillis).stream()
                        .map(Incarnation::id)
                        .collect(Collectors.partitioningBy(silent::contains, Collectors.toSet()));
                watched.recordProbes(probed.get(false), probed.get(true), LinkDelay.NOT_MEASURED, nowMillis);
            }
            assertFalse(watched.isIsolated());
        }
    }
}
