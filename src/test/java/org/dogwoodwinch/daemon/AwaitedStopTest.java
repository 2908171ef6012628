package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class AwaitedStopTest {

    private final AtomicInteger stopsCount = new AtomicInteger();
    private final AwaitedStop stop =
            new AwaitedStop(() -> CompletableFuture.completedFuture(stopsCount.incrementAndGet()));

    /** Failure: a signal during the start stops a daemon that then begins to listen, and its calls are cut off. */
    @Test
    void stopThatIsAskedForDuringTheStartFollowsTheStart() {
        stop.request();
        assertEquals(0, stopsCount.get());

        assertEquals(1, stop.awaitUnfinishedCount());
        assertEquals(1, stopsCount.get());
    }
}
