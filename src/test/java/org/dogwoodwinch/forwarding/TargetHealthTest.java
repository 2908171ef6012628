package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class TargetHealthTest {

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final TargetHealth health = new TargetHealth(time::monotonicMillis);

    private static List<Incarnation> targets(int count) {
        List<Incarnation> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(new Incarnation("t" + i, "s", "10.0.0.1", 80, "dc", 6, false, Stage.WHOLE, 0));
        }
        return targets;
    }

    private List<String> usable(int count) {
        return health.usable(targets(count)).stream().map(Incarnation::id).toList();
    }

    /** A target that is gone is tried by one call a pause, and the pause doubles up to four seconds. */
    @Test
    void whatCannotBeReachedIsLeftOutForAPauseThatDoubles() {
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            long pauseMillis = health.unreachable("t1");
            pauses.add(pauseMillis);
            assertEquals(List.of("t0", "t2"), usable(3));
            time.advanceMillis(pauseMillis);
            assertEquals(List.of("t0", "t1", "t2"), usable(3));
        }
        assertEquals(List.of(500L, 1_000L, 2_000L, 4_000L, 4_000L, 4_000L), pauses);
    }

    /** Twenty calls fail at once: that is one failure, not twenty. */
    @Test
    void failuresWithinAPauseDoNotLengthenIt() {
        health.unreachable("t1");
        time.advanceMillis(100);

        assertEquals(400, health.unreachable("t1"));
        time.advanceMillis(400);
        assertEquals(List.of("t0", "t1", "t2"), usable(3));
    }

    @Test
    void anAnswerClearsTheTarget() {
        health.unreachable("t1");
        health.answered("t1");

        assertEquals(3, usable(3).size());
        assertEquals(500, health.unreachable("t1"));
    }

    /** This instance's links are cut: nothing can be reached, and still every target may be tried. */
    @Test
    void noMoreThanHalfOfAServiceIsLeftOut() {
        health.unreachable("t0");
        health.unreachable("t1");
        assertEquals(List.of("t2", "t3"), usable(4));

        health.unreachable("t2");
        assertEquals(4, usable(4).size());
        assertEquals(1, usable(1).size());
    }

    @Test
    void aTargetThatIsListedNoMoreIsForgotten() {
        health.unreachable("t1");
        health.forget("t1");

        assertEquals(500, health.unreachable("t1"));
    }

    /**
     * A target breaks off a part of its calls and answers others. The answer to a call from before the break must not bring
     * it back at once, or every second call is lost there; the first answer after the pause does.
     */
    @Test
    void anAnswerWithinThePauseOfABrokenOffCallProvesNothing() {
        assertEquals(500, health.brokeOff("t1"));
        health.answered("t1");
        assertEquals(List.of("t0", "t2"), usable(3));

        time.advanceMillis(500);
        health.answered("t1");

        assertEquals(3, usable(3).size());
        time.advanceMillis(2_000);
        assertEquals(500, health.brokeOff("t1"));
    }

    /** Two of four targets lose two answers of five: left alone for each, they would leave their work to the others. */
    @Test
    void targetsThatLoseAPartOfTheirAnswersGoOnBeingUsed() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(4);
        int usedCount = 0;
        for (int call = 0; call < 1_000; call++) {
            time.advanceMillis(100);
            String id = "t" + random.nextInt(2);
            if (usable(4).contains(id)) {
                usedCount++;
                if (random.nextInt(5) < 2) {
                    health.brokeOff(id);
                } else {
                    health.answered(id);
                }
            }
        }
        assertTrue(usedCount >= 800, usedCount + " of 1000 calls could go there");
    }

    @Test
    void aTargetThatBreaksOffSeveralCallsInARowIsLeftAloneThoughItAnsweredAMomentAgo() {
        health.answered("t1");
        assertEquals(0, health.brokeOff("t1"));
        assertEquals(0, health.brokeOff("t1"));
        assertEquals(500, health.brokeOff("t1"));
        assertEquals(List.of("t0", "t2"), usable(3));
    }

    /** Another instance lost a call there, this one has just had an answer. */
    @Test
    void whatIsToldCountsLessThanAnAnswerOfAMomentAgo() {
        health.answered("t1");
        health.told("t1", 500, 1_000);
        assertEquals(3, usable(3).size());

        time.advanceMillis(2_000);
        health.told("t1", 500, 1_000);
        assertEquals(List.of("t0", "t2"), usable(3));
    }

    /** All instances share what one finds out, so a trial a second is cheap, and a target that is back is soon found. */
    @Test
    void pausesOfBrokenOffCallsEndWithinASecond() {
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            pauses.add(health.brokeOff("t1"));
            time.advanceMillis(1_000);
        }
        assertEquals(List.of(500L, 1_000L, 1_000L, 1_000L), pauses);
    }

    /** What is told lengthens a pause and never shortens it, and the own pauses go on from there. */
    @Test
    void whatIsToldLeavesATargetOutAsLongAsIsSaid() {
        health.told("t1", 1_000, 2_500);
        health.told("t1", 500, 100);
        time.advanceMillis(2_400);
        assertEquals(List.of("t0", "t2"), usable(3));

        time.advanceMillis(100);
        assertEquals(3, usable(3).size());
        assertEquals(1_000, health.brokeOff("t1"));

        health.toldSound("t1");
        assertEquals(3, usable(3).size());
    }

    /** A word that was too long on its way says nothing any more. */
    @Test
    void aWordWhosePauseIsOverLeavesNothingOut() {
        health.told("t1", 500, 0);

        assertEquals(3, usable(3).size());
    }
}
