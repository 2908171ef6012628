package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class NeighbourChooserTest {

    private final NeighbourChooser chooser = new NeighbourChooser("dc-0", RandomSource.XO_RO_SHI_RO_128_PP.create(3));

    private static List<Neighbour> fleet(int dataCentresCount, int instancesCount) {
        List<Neighbour> others = new ArrayList<>();
        for (int i = 1; i < instancesCount; i++) {
            others.add(new Neighbour("n" + i, "10.0.0." + i, 7_000, "dc-" + i % dataCentresCount));
        }
        return others;
    }

    private Map<String, Integer> chooseMany(List<Neighbour> others, Set<String> isolated, int count) {
        Map<String, Integer> calls = new HashMap<>();
        for (int i = 0; i < count; i++) {
            chooser.choose(others, isolated, Set.of(), Set.of(), name -> calls.getOrDefault(name, 0))
                    .ifPresent(chosen -> calls.merge(chosen.name(), 1, Integer::sum));
        }
        return calls;
    }

    @Test
    void nearInstancesArePreferred() {
        Map<String, Integer> calls = chooseMany(fleet(3, 90), Set.of(), 290);
        assertEquals(29, calls.size());
        assertTrue(calls.keySet().stream().allMatch(name -> Integer.parseInt(name.substring(1)) % 3 == 0));
    }

    /** Guards against few instances that receive the calls of a whole data centre. */
    @Test
    void callsOfADataCentreThatIsMostlyCutOffAreSharedByAll() {
        List<Neighbour> others = fleet(3, 90);
        List<String> near = others.stream()
                .filter(each -> each.dataCentre().equals("dc-0"))
                .map(Neighbour::name)
                .toList();
        Set<String> isolated = Set.copyOf(near.subList(0, 20));
        Map<String, Integer> calls = chooseMany(others, isolated, 690);
        assertTrue(calls.size() > 60, () -> calls.size() + " instances");
        assertTrue(calls.values().stream().allMatch(count -> count <= 20), calls::toString);
        assertTrue(isolated.stream().noneMatch(calls::containsKey));
    }

    @Test
    void instanceOfAnotherDataCentreTakesOverWhenNoNearOneCan() {
        List<Neighbour> others = fleet(4, 6);
        assertEquals(
                Set.of("n1", "n2", "n3", "n5"),
                chooseMany(others, Set.of("n4"), 40).keySet());
    }

    /** Guards against an instance that is given more calls than it can serve beside its own. */
    @Test
    void fullInstancesAreNotChosen() {
        Map<String, Integer> calls = chooseMany(fleet(1, 3), Set.of(), 1_000);
        assertEquals(Map.of("n1", 64, "n2", 64), calls);
    }

    @Test
    void triedInstancesAreNotChosenAgain() {
        List<Neighbour> others = fleet(1, 3);
        assertEquals(
                "n2",
                chooser.choose(others, Set.of(), Set.of("n1"), Set.of(), _name -> 0)
                        .orElseThrow()
                        .name());
        assertTrue(chooser.choose(others, Set.of("n2"), Set.of("n1"), Set.of(), _name -> 0)
                .isEmpty());
    }
}
