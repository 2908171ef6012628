package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.concurrent.Promise;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class EventLoopWatchTest {

    private final Promise<Void> loopsEnded = ImmediateEventExecutor.INSTANCE.newPromise();
    private final AtomicInteger endsCount = new AtomicInteger();

    /** Failure: the event loop is gone, and the process keeps its sockets and answers nobody. */
    @Test
    void processDoesNotOutliveItsEventLoop() {
        new EventLoopWatch(loopsEnded, endsCount::incrementAndGet).start();
        assertEquals(0, endsCount.get());

        loopsEnded.setSuccess(null);

        assertEquals(1, endsCount.get());
    }
}
