package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ConnectionReuseTest {

    private final ConnectionReuse reuse = new ConnectionReuse();

    @Test
    void connectionsToTargetThatAnsweredTwiceCarryOneCallForAWhile() {
        reuse.recordRepeated("t1", 1_000);

        assertFalse(reuse.isAllowed("t1", 1_000));
        assertFalse(reuse.isAllowed("t1", 1_000 + ConnectionReuse.SINGLE_USE_MILLIS - 1));
        assertTrue(reuse.isAllowed("t1", 1_000 + ConnectionReuse.SINGLE_USE_MILLIS));
    }

    @Test
    void laterSecondAnswerBeginsTheTimeAnew() {
        reuse.recordRepeated("t1", 1_000);
        reuse.recordRepeated("t1", 2_000);

        assertFalse(reuse.isAllowed("t1", 1_000 + ConnectionReuse.SINGLE_USE_MILLIS));
    }

    @Test
    void otherTargetsKeepTheirConnections() {
        reuse.recordRepeated("t1", 1_000);

        assertTrue(reuse.isAllowed("t2", 1_000));
    }

    @Test
    void targetThatIsGoneIsForgotten() {
        reuse.recordRepeated("t1", 1_000);
        reuse.removeTarget("t1");

        assertTrue(reuse.isAllowed("t1", 1_000));
    }
}
