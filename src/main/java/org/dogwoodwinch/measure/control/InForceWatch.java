package org.dogwoodwinch.measure.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwinch.cli.OperatorClient;
import org.dogwoodwinch.cli.OperatorReply;
import org.dogwoodwinch.control.ControlStatus;

/** Asks one daemon over and over which catalogue is in force there, on a thread of its own. */
final class InForceWatch implements Runnable {

    private static final long PAUSE_MILLIS = 1;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OperatorClient client;
    private final AtomicLong revision = new AtomicLong(-1);
    private final AtomicLong sinceNanos = new AtomicLong();
    private final AtomicLong wentBack = new AtomicLong();
    private volatile boolean stopped;
    private volatile boolean answering;

    InForceWatch(OperatorClient client) {
        this.client = client;
    }

    @Override
    public void run() {
        while (!stopped) {
            Optional<Long> seen = read();
            answering = seen.isPresent();
            seen.filter(each -> each != revision.get()).ifPresent(this::note);
            pause();
        }
    }

    /** The revision that was seen last; -1 before the first. */
    long revision() {
        return revision.get();
    }

    /** When the revision was first seen, in nanoseconds of the runtime's monotonic clock. */
    long sinceNanos() {
        return sinceNanos.get();
    }

    /** How often a lower revision followed a higher one of the same process. */
    long wentBack() {
        return wentBack.get();
    }

    boolean isAnswering() {
        return answering;
    }

    /** A killed daemon's successor starts from nothing. */
    void forget() {
        revision.set(-1);
    }

    void stop() {
        stopped = true;
    }

    private void note(long seen) {
        if (seen < revision.get()) {
            wentBack.incrementAndGet();
        }
        sinceNanos.set(System.nanoTime());
        revision.set(seen);
    }

    private Optional<Long> read() {
        Optional<OperatorReply> reply = client.get("/control/status").filter(OperatorReply::isSuccess);
        try {
            return reply.isEmpty()
                    ? Optional.empty()
                    : Optional.of(MAPPER.readValue(reply.get().body(), ControlStatus.class)
                            .catalogueRevision());
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
