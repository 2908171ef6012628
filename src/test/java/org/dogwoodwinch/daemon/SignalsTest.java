package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SignalsTest {

    private static final long TIMEOUT_SECONDS = 30;

    /**
     * The platform tells a process by SIGHUP that its settings file changed. Nothing that handles it, the process would
     * end with every call in it; so the reaction runs and the process goes on.
     */
    @Test
    void handledSignalDoesNotTerminateProcess() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        Signals.on("HUP", received::countDown);

        Class<?> signal = Class.forName("sun.misc.Signal");
        signal.getMethod("raise", signal)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));

        assertTrue(received.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
