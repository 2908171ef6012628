package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class UnreachableNeighboursTest {

    private static final long DAY_MILLIS = 10_000;
    private static final long CALL_INTERVAL_MILLIS = 10;
    private static final long CONNECT_TIMEOUT_MILLIS = 300;
    private static final long RUN_MILLIS = 100;
    private static final int MAX_ATTEMPTS = 3;

    private final UnreachableNeighbours unreachable = new UnreachableNeighbours();
    private final NeighbourChooser chooser = new NeighbourChooser("dc-0", RandomSource.XO_RO_SHI_RO_128_PP.create(5));
    private final Map<String, Integer> callsAt = new HashMap<>();
    private final PriorityQueue<Attempt> attempts =
            new PriorityQueue<>((one, other) -> Long.compare(one.endsMillis, other.endsMillis));
    private int failedAttemptsCount;
    private int givenUpCount;
    private int servedCount;

    private record Attempt(Set<String> tried, String name, boolean fails, long endsMillis) {}

    private static List<Neighbour> fleet(int perDataCentre) {
        List<Neighbour> others = new ArrayList<>();
        for (int i = 1; i < 3 * perDataCentre; i++) {
            others.add(new Neighbour("n" + i, "10.0.0." + i, 7_000, "dc-" + i % 3));
        }
        return others;
    }

    /** Guards against calls that try one instance with a full link after the other while other data centres have room. */
    @Test
    void callsGoToOtherDataCentresWhileLinksOfOwnOneAreFull() {
        List<Neighbour> others = fleet(16);
        for (long nowMillis = 0; nowMillis < DAY_MILLIS; nowMillis += CALL_INTERVAL_MILLIS) {
            endAttempts(others, nowMillis);
            begin(others, Set.of(), nowMillis);
        }

        assertEquals(0, givenUpCount, () -> failedAttemptsCount + " failed attempts, served " + servedCount);
        assertTrue(failedAttemptsCount <= 60, () -> failedAttemptsCount + " failed attempts, served " + servedCount);
    }

    private void endAttempts(List<Neighbour> others, long nowMillis) {
        while (!attempts.isEmpty() && attempts.peek().endsMillis <= nowMillis) {
            Attempt ended = attempts.remove();
            callsAt.merge(ended.name, -1, Integer::sum);
            if (ended.fails) {
                failedAttemptsCount++;
                unreachable.recordUnreachable(ended.name, nowMillis);
                begin(others, ended.tried, nowMillis);
            } else {
                servedCount++;
            }
        }
    }

    private void begin(List<Neighbour> others, Set<String> tried, long nowMillis) {
        Optional<Neighbour> chosen = tried.size() < MAX_ATTEMPTS
                ? chooser.choose(
                        others, Set.of(), tried, unreachable.names(nowMillis), name -> callsAt.getOrDefault(name, 0))
                : Optional.empty();
        if (chosen.isEmpty()) {
            givenUpCount++;
            return;
        }
        String name = chosen.get().name();
        boolean fails = chosen.get().dataCentre().equals("dc-0");
        unreachable.recordTried(name, nowMillis);
        callsAt.merge(name, 1, Integer::sum);
        if (!fails) {
            unreachable.recordReached(name);
        }
        Set<String> triedNow = new HashSet<>(tried);
        triedNow.add(name);
        attempts.add(new Attempt(triedNow, name, fails, nowMillis + (fails ? CONNECT_TIMEOUT_MILLIS : RUN_MILLIS)));
    }

    /** Guards against an instance that receives no calls although it is reachable again. */
    @Test
    void oneCallTriesInstanceAfterPause() {
        unreachable.recordUnreachable("n1", 1_000);
        assertEquals(Set.of("n1"), unreachable.names(2_999));
        assertEquals(Set.of(), unreachable.names(3_000));
        unreachable.recordTried("n1", 3_000);
        assertEquals(Set.of("n1"), unreachable.names(3_001));
        unreachable.recordReached("n1");
        assertEquals(Set.of(), unreachable.names(3_002));
    }

    /** Guards against a call that is refused because its last choice was unreachable a moment ago. */
    @Test
    void unreachableInstanceIsTriedWhenThereIsNoOther() {
        List<Neighbour> others = fleet(1).subList(0, 1);
        unreachable.recordUnreachable("n1", 0);
        assertEquals(
                others.get(0),
                chooser.choose(others, Set.of(), Set.of(), unreachable.names(1), _name -> 0)
                        .orElseThrow());
    }
}
