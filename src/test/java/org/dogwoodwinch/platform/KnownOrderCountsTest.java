package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.junit.jupiter.api.Test;

class KnownOrderCountsTest {

    private final KnownOrderCounts counts = new KnownOrderCounts();

    private static Incarnation engine(String id, long startedMillis) {
        return new Incarnation(id, "s", "10.0.0.1", 80, "dc", 64, false, Stage.DECODE, 1, startedMillis);
    }

    @Test
    void laterStartOfEngineBeginsWithoutOrders() {
        counts.recordAccepted(engine("e1", 9), 3);

        assertEquals(4, counts.known(engine("e1", 9)));
        assertEquals(0, counts.known(engine("e1", 12)));
    }

    /** The answers to two orders may arrive in the other order. */
    @Test
    void acknowledgementOfEarlierOrderDoesNotLowerCount() {
        counts.recordAccepted(engine("e1", 9), 4);
        counts.recordAccepted(engine("e1", 9), 3);

        assertEquals(5, counts.known(engine("e1", 9)));
    }

    @Test
    void enginesOfLongAgoAreForgotten() {
        counts.recordReported(engine("e0", 9), 2);
        counts.recordReported(engine("e1", 9), 2);
        for (int i = 2; i <= 8_192; i++) {
            counts.known(engine("e0", 9));
            counts.recordReported(engine("e" + i, 9), 2);
        }

        assertEquals(2, counts.known(engine("e0", 9)));
        assertEquals(0, counts.known(engine("e1", 9)));
    }
}
