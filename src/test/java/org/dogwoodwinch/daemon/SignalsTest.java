package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SignalsTest {

    private static final long TIMEOUT_SECONDS = 30;

    /**
     * The platform sends SIGHUP when the settings file has changed. Without a handler, the signal would terminate the
     * process and all of its calls.
     */
    @Test
    void handledSignalDoesNotTerminateProcess() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        Signals.setHandler("HUP", received::countDown);

        Class<?> signal = Class.forName("sun.misc.Signal");
        signal.getMethod("raise", signal)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));

        assertTrue(received.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
