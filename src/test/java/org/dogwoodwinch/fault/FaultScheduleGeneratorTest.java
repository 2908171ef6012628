package org.dogwoodwinch.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class FaultScheduleGeneratorTest {

    private static final FaultSubjects SUBJECTS = new FaultSubjects(List.of("n1", "n2"), List.of("e1"));
    private static final List<FaultKind> ALL = List.of(FaultKind.values());

    private final FaultScheduleGenerator generator = new FaultScheduleGenerator(SUBJECTS, 1_000, 500);

    @Property(seed = "4", tries = 200)
    void theSameSeedGivesTheSameSchedule(@ForAll long seed) {
        assertEquals(generator.random(seed, 5), generator.random(seed, 5));
    }

    @Property(seed = "5", tries = 100)
    void thePairsCoverEachTwoKindsOnceAndOverlap(@ForAll long seed) {
        List<FaultSchedule> pairs = generator.pairs(seed, ALL);
        assertEquals(ALL.size() * (ALL.size() + 1) / 2, pairs.size());
        pairs.forEach(pair -> {
            Fault first = pair.faults().get(0);
            Fault second = pair.faults().get(1);
            assertTrue(second.startMillis() <= first.endMillis(), pair::toString);
            assertTrue(SUBJECTS.of(second.kind()).contains(second.subject()), pair::toString);
        });
    }

    @Test
    void thePlayerTellsAroundWhatItDoes() {
        VirtualTimeSource time = new VirtualTimeSource(0);
        List<String> told = new ArrayList<>();
        FaultInjector injector = new FaultInjector() {
            @Override
            public void begin(Fault fault) {
                told.add(time.monotonicMillis() + " killed " + fault.subject());
            }

            @Override
            public void end(Fault fault) {
                told.add(time.monotonicMillis() + " started " + fault.subject());
            }
        };
        FaultPlayer player = new FaultPlayer(
                time,
                injector,
                _fault -> told.add("began"),
                fault -> told.add("ended after " + fault.durationMillis()));
        player.play(new FaultSchedule(0, List.of(new Fault(FaultKind.KILL, "n1", 10, 20))));
        time.advanceMillis(100);
        assertEquals(List.of("began", "10 killed n1", "30 started n1", "ended after 20"), told);
    }
}
