package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Turns SIGTERM and SIGINT into a graceful stop, and a second one into an end at once.
 *
 * <p>A shutdown hook would not do: while hooks run, the virtual machine ignores further signals, so that an operator who
 * gives up on a drain could only kill the process and would get no exit code to tell the two apart.
 */
final class StopSignals {

    private static final Logger log = LoggerFactory.getLogger(StopSignals.class);
    private static final String[] SIGNAL_NAMES = {"TERM", "INT"};

    private final AtomicInteger receivedCount = new AtomicInteger();
    private final Runnable onFirst;
    private final Runnable onSecond;

    /**
     * Creates the pair of reactions.
     *
     * @param onFirst starts the graceful stop and returns, not null
     * @param onSecond ends the process, not null
     */
    StopSignals(Runnable onFirst, Runnable onSecond) {
        this.onFirst = Objects.requireNonNull(onFirst, "onFirst");
        this.onSecond = Objects.requireNonNull(onSecond, "onSecond");
    }

    /**
     * Takes the signals of this process over.
     *
     * @throws IllegalStateException if this virtual machine hands out no signals
     */
    void install() {
        for (String name : SIGNAL_NAMES) {
            Signals.setHandler(name, () -> onSignal("SIG" + name));
        }
    }

    /**
     * Reacts to a signal.
     *
     * @param name the signal's name, not null
     */
    void onSignal(String name) {
        int number = receivedCount.incrementAndGet();
        LogEvent.of("signal").with("name", name).with("number", number).info(log);
        if (number == 1) {
            onFirst.run();
        } else {
            onSecond.run();
        }
    }
}
