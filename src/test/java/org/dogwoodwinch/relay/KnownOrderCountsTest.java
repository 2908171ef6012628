package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.junit.jupiter.api.Test;

class KnownOrderCountsTest {

    private final KnownOrderCounts counts = new KnownOrderCounts();

    private static Incarnation engine(String id, long startedMillis) {
        return new Incarnation(id, "s", "10.0.0.1", 80, "dc", 64, false, Stage.DECODE, 1, startedMillis);
    }

    private static OrderState report(long ordersCount) {
        return new OrderState(Stage.DECODE, false, ordersCount);
    }

    private static StageOrder order(long expectedOrdersCount) {
        return new StageOrder(Stage.PREFILL, "n1", 7, expectedOrdersCount);
    }

    private static ControlReply answered(int status) {
        return new ControlReply.Answered(status, EmptyHttpHeaders.INSTANCE, Bytes.EMPTY);
    }

    @Test
    void orderThatHeldAlreadyOrWasRefusedIsNotCounted() {
        counts.recordAnswer(engine("e1", 9), order(3), answered(200));
        counts.recordAnswer(engine("e1", 9), order(3), answered(409));
        counts.recordAnswer(engine("e1", 9), order(3), new ControlReply.Lost("timeout"));

        assertTrue(counts.mayFollow(engine("e1", 9), report(0)));
    }

    @Test
    void laterStartOfEngineBeginsWithoutOrders() {
        counts.recordAnswer(engine("e1", 9), order(3), answered(202));

        assertFalse(counts.mayFollow(engine("e1", 9), report(3)));
        assertTrue(counts.mayFollow(engine("e1", 9), report(4)));
        assertTrue(counts.mayFollow(engine("e1", 12), report(0)));
    }

    /** The answers to two orders may arrive in the other order. */
    @Test
    void acknowledgementOfEarlierOrderDoesNotLowerCount() {
        counts.recordAnswer(engine("e1", 9), order(4), answered(202));
        counts.recordAnswer(engine("e1", 9), order(3), answered(202));

        assertFalse(counts.mayFollow(engine("e1", 9), report(4)));
    }

    @Test
    void enginesOfLongAgoAreForgotten() {
        counts.recordReported(engine("e0", 9), Optional.of(report(2)));
        counts.recordReported(engine("e1", 9), Optional.of(report(2)));
        for (int i = 2; i <= 8_192; i++) {
            assertFalse(counts.mayFollow(engine("e0", 9), report(1)));
            counts.recordReported(engine("e" + i, 9), Optional.of(report(2)));
        }

        assertFalse(counts.mayFollow(engine("e0", 9), report(1)));
        assertTrue(counts.mayFollow(engine("e1", 9), report(1)));
    }
}
