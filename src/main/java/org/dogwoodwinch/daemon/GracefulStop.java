package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.relay.DrainableService;
import org.dogwoodwinch.settings.ForwardingSettings.GraceSettings;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets the calls in progress finish before the process ends: the instance reports not ready first, then accepts no
 * connections, and ends with its last call or shortly before the platform kills it. Confined to one event loop.
 *
 * <p>Failure: the process exits with calls under way or with answers that the sockets have not taken yet, and their
 * callers receive nothing. So the calls that are left are ended with an answer, and the stop completes only when the
 * connections that carry the answers have closed, or at the last moment before the kill.
 */
final class GracefulStop {

    private static final Logger log = LoggerFactory.getLogger(GracefulStop.class);

    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 20;

    /**
     * Calls that have not finished are ended this long before the platform kills the process. Most of it is for their
     * answers, which a slow connection does not take at once.
     */
    private static final long FORCED_CLOSE_LEAD_MILLIS = 500;

    /** The process exits this long before the platform kills it, whatever is still to be written. */
    private static final long EXIT_LEAD_MILLIS = 100;

    private final DrainableService service;
    private final Supplier<GraceSettings> settings;
    private final Supplier<CompletionStage<Boolean>> lastWrites;
    private final TimeSource time;
    private final long requestedAtMillis;
    private final CompletableFuture<Integer> stopped = new CompletableFuture<>();
    private Optional<CompletableFuture<Boolean>> writes = Optional.empty();
    private boolean forciblyClosed;
    private int unfinishedCount;

    /**
     * Creates a stop that has not begun. The grace time counts from now, however late the event loop begins it.
     *
     * @param service the service to drain, not null
     * @param settings the times, read at each check since they may be reloaded, not null
     * @param lastWrites writes what has to outlive the process, once the calls have ended, not null
     * @param time the clock and timers, not null
     */
    GracefulStop(
            DrainableService service,
            Supplier<GraceSettings> settings,
            Supplier<CompletionStage<Boolean>> lastWrites,
            TimeSource time) {
        this.service = Objects.requireNonNull(service, "service");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.lastWrites = Objects.requireNonNull(lastWrites, "lastWrites");
        this.time = Objects.requireNonNull(time, "time");
        this.requestedAtMillis = time.monotonicMillis();
    }

    /**
     * Returns the end of the stop.
     *
     * @return completes with the number of calls that did not finish within the grace period
     */
    CompletionStage<Integer> stopped() {
        return stopped;
    }

    /** Begins to drain. */
    void start() {
        service.startDraining();
        service.logState("leaving");
        check();
    }

    private void check() {
        if (stopped.isDone()) {
            return;
        }
        // Scheduled first: a failure in one check must not be the end of all checks.
        time.schedule(DRAIN_CHECK_INTERVAL_MILLIS, this::check);
        long elapsedMillis = time.monotonicMillis() - requestedAtMillis;
        long graceMillis = settings.get().graceMillis();
        long forcedCloseMillis = graceMillis - FORCED_CLOSE_LEAD_MILLIS;
        service.refuseUnfinishableCalls(forcedCloseMillis - elapsedMillis);
        if (elapsedMillis >= Math.min(settings.get().notReadyMillis(), forcedCloseMillis)) {
            service.stopAccepting();
            if (elapsedMillis >= forcedCloseMillis) {
                closeForcibly();
            }
            boolean isDrained = service.openCallsCount() == 0 && service.callerConnectionsCount() == 0;
            if (isDrained) {
                beginLastWrites();
            }
            if ((isDrained && areLastWritesDone()) || elapsedMillis >= graceMillis - EXIT_LEAD_MILLIS) {
                finish();
            }
        }
    }

    private void closeForcibly() {
        if (!forciblyClosed) {
            unfinishedCount = service.endOpenCalls();
            forciblyClosed = true;
            beginLastWrites();
        }
    }

    private void beginLastWrites() {
        if (writes.isEmpty()) {
            writes = Optional.of(lastWrites.get().toCompletableFuture());
        }
    }

    private boolean areLastWritesDone() {
        return writes.map(CompletableFuture::isDone).orElse(false);
    }

    /** Ends the stop, also without the last writes: a store that never answers must not keep the process. */
    private void finish() {
        if (!areLastWritesDone()) {
            LogEvent.of("last_writes_unfinished").warn(log);
        }
        service.logState("stopped");
        stopped.complete(unfinishedCount);
    }
}
