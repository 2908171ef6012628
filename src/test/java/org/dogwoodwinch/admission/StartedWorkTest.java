package org.dogwoodwinch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StartedWorkTest {

    private final StartedWork work = new StartedWork(500);

    /** Six instances with equal queues: while nobody has told, the five others started what this one did. */
    @Test
    void eachOtherInstanceIsTakenToHaveStartedAsMuch() {
        work.started(40, 1_000);
        work.started(20, 1_100);

        assertEquals(300, work.unheardOfOthers(6, 1_200));
    }

    @Test
    void whatIsOlderThanAWordIsHeard() {
        work.started(40, 1_000);
        work.started(20, 1_100);

        assertEquals(100, work.unheardOfOthers(6, 1_500));
        assertEquals(0, work.unheardOfOthers(6, 1_600));
    }

    @Test
    void anInstanceAloneHasNoOthers() {
        work.started(40, 1_000);

        assertEquals(0, work.unheardOfOthers(1, 1_000));
        assertEquals(0, work.unheardOfOthers(0, 1_000));
    }
}
