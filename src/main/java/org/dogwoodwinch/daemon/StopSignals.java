package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts a graceful stop on the first SIGTERM or SIGINT, and ends the process immediately on a SIGINT that follows.
 *
 * <p>Failure: a platform repeats SIGTERM while the process drains, and all calls under way are cut off. A repeated SIGTERM
 * asks for what is under way already and has no effect. A SIGINT that follows comes from a person who does not want to
 * wait.
 *
 * <p>A shutdown hook is not sufficient: the virtual machine ignores further signals while hooks run. An operator who
 * wants to abort a drain could then only kill the process, and no exit code would distinguish the two cases.
 */
final class StopSignals {

    private static final Logger log = LoggerFactory.getLogger(StopSignals.class);
    private static final String PREFIX = "SIG";
    private static final String TERMINATE = "TERM";
    private static final String INTERRUPT = "INT";

    private final AtomicInteger receivedCount = new AtomicInteger();
    private final Runnable onFirst;
    private final Runnable onInterrupt;

    /**
     * Creates the handler. It receives nothing until {@link #install()} is called.
     *
     * @param onFirst starts the graceful stop and returns, not null
     * @param onInterrupt ends the process, not null
     */
    StopSignals(Runnable onFirst, Runnable onInterrupt) {
        this.onFirst = Objects.requireNonNull(onFirst, "onFirst");
        this.onInterrupt = Objects.requireNonNull(onInterrupt, "onInterrupt");
    }

    /**
     * Installs this handler for SIGTERM and SIGINT of this process.
     *
     * @throws IllegalStateException if this virtual machine does not support signal handlers
     */
    void install() {
        for (String name : List.of(TERMINATE, INTERRUPT)) {
            Signals.setHandler(name, () -> onSignal(PREFIX + name));
        }
    }

    /**
     * Handles a signal.
     *
     * @param name the signal's name, such as {@code SIGTERM}, not null
     */
    void onSignal(String name) {
        int number = receivedCount.incrementAndGet();
        LogEvent.of("signal").with("name", name).with("number", number).info(log);
        if (number == 1) {
            onFirst.run();
        } else if (name.equals(PREFIX + INTERRUPT)) {
            onInterrupt.run();
        }
    }
}
