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

    private List<String> usableIds(int count) {
        return health.filterUsable(targets(count)).stream().map(Incarnation::id).toList();
    }

    /** A crashed target is tried by one call per ejection, and the ejection time doubles up to four seconds. */
    @Test
    void unreachableTargetIsEjectedForDoublingTime() {
        List<Long> ejectionsMillis = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            long ejectionMillis = health.recordUnreachable("t1");
            ejectionsMillis.add(ejectionMillis);
            assertEquals(List.of("t0", "t2"), usableIds(3));
            time.advanceMillis(ejectionMillis);
            assertEquals(List.of("t0", "t1", "t2"), usableIds(3));
        }
        assertEquals(List.of(500L, 1_000L, 2_000L, 4_000L, 4_000L, 4_000L), ejectionsMillis);
    }

    /** Twenty calls that fail at the same time count as one failure. */
    @Test
    void failuresDuringEjectionDoNotExtendIt() {
        health.recordUnreachable("t1");
        time.advanceMillis(100);

        assertEquals(400, health.recordUnreachable("t1"));
        time.advanceMillis(400);
        assertEquals(List.of("t0", "t1", "t2"), usableIds(3));
    }

    @Test
    void answerEndsEjectionOfUnreachableTarget() {
        health.recordUnreachable("t1");
        health.recordAnswer("t1");

        assertEquals(3, usableIds(3).size());
        assertEquals(500, health.recordUnreachable("t1"));
    }

    /** If this instance's own links are cut, no target can be reached, and all must remain usable. */
    @Test
    void atMostHalfOfAServiceIsEjected() {
        health.recordUnreachable("t0");
        health.recordUnreachable("t1");
        assertEquals(List.of("t2", "t3"), usableIds(4));

        health.recordUnreachable("t2");
        assertEquals(4, usableIds(4).size());
        assertEquals(1, usableIds(1).size());
    }

    @Test
    void removedTargetStartsWithFirstEjectionTime() {
        health.recordUnreachable("t1");
        health.remove("t1");

        assertEquals(500, health.recordUnreachable("t1"));
    }

    /** The answer to a call sent before the break must not end the ejection, or every second call is lost there. */
    @Test
    void answerDuringEjectionForBrokenCallDoesNotEndIt() {
        assertEquals(500, health.recordBrokenConnection("t1"));
        health.recordAnswer("t1");
        assertEquals(List.of("t0", "t2"), usableIds(3));

        time.advanceMillis(500);
        health.recordAnswer("t1");

        assertEquals(3, usableIds(3).size());
        time.advanceMillis(2_000);
        assertEquals(500, health.recordBrokenConnection("t1"));
    }

    /**
     * If each broken call ejected them, two of four targets that lose two of five answers would overload the others.
     */
    @Test
    void targetsThatLosePartOfTheirAnswersStayUsable() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(4);
        int usedCount = 0;
        for (int call = 0; call < 1_000; call++) {
            time.advanceMillis(100);
            String id = "t" + random.nextInt(2);
            if (usableIds(4).contains(id)) {
                usedCount++;
                if (random.nextInt(5) < 2) {
                    health.recordBrokenConnection(id);
                } else {
                    health.recordAnswer(id);
                }
            }
        }
        assertTrue(usedCount >= 800, usedCount + " of 1000 calls found the target usable");
    }

    @Test
    void consecutiveBrokenCallsEjectTargetDespiteRecentAnswer() {
        health.recordAnswer("t1");
        assertEquals(0, health.recordBrokenConnection("t1"));
        assertEquals(0, health.recordBrokenConnection("t1"));
        assertEquals(500, health.recordBrokenConnection("t1"));
        assertEquals(List.of("t0", "t2"), usableIds(3));
    }

    /** Another instance lost a call there, but this instance has just received an answer. */
    @Test
    void peerEjectionIsIgnoredAfterRecentAnswer() {
        health.recordAnswer("t1");
        health.recordPeerEjection("t1", 500, 1_000);
        assertEquals(3, usableIds(3).size());

        time.advanceMillis(2_000);
        health.recordPeerEjection("t1", 500, 1_000);
        assertEquals(List.of("t0", "t2"), usableIds(3));
    }

    /** All instances share the result, so one probe per second is cheap and finds a restarted target soon. */
    @Test
    void ejectionForBrokenCallsLastsAtMostOneSecond() {
        List<Long> ejectionsMillis = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ejectionsMillis.add(health.recordBrokenConnection("t1"));
            time.advanceMillis(1_000);
        }
        assertEquals(List.of(500L, 1_000L, 1_000L, 1_000L), ejectionsMillis);
    }

    /** A report extends an ejection but never shortens it, and this instance's ejection time continues from there. */
    @Test
    void peerEjectionLastsForReportedTime() {
        health.recordPeerEjection("t1", 1_000, 2_500);
        health.recordPeerEjection("t1", 500, 100);
        time.advanceMillis(2_400);
        assertEquals(List.of("t0", "t2"), usableIds(3));

        time.advanceMillis(100);
        assertEquals(3, usableIds(3).size());
        assertEquals(1_000, health.recordBrokenConnection("t1"));

        health.recordPeerRecovery("t1");
        assertEquals(3, usableIds(3).size());
    }

    /** A report that arrives after its ejection has ended no longer has any effect. */
    @Test
    void expiredPeerEjectionIsIgnored() {
        health.recordPeerEjection("t1", 500, 0);

        assertEquals(3, usableIds(3).size());
    }
}
