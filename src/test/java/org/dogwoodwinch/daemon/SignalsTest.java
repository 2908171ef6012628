package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class SignalsTest {

    private static final long LONGEST_SECONDS = 30;

    /**
     * The platform tells a process by SIGHUP that its settings file changed. Nothing that handles it, the process would
     * end with every call in it; so the reaction runs and the process goes on.
     */
    @Test
    void aSignalThatIsHandledDoesNotEndTheProcess() throws Exception {
        CountDownLatch heard = new CountDownLatch(1);
        Signals.setHandler("HUP", heard::countDown);

        Class<?> signal = Class.forName("sun.misc.Signal");
        signal.getMethod("raise", signal)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));

        assertTrue(heard.await(LONGEST_SECONDS, TimeUnit.SECONDS));
    }
}
