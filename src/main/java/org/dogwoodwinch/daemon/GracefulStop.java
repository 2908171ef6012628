package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.dogwoodwinch.relay.ForwardingService;
import org.dogwoodwinch.settings.ForwardingSettings.GraceSettings;
import org.dogwoodwinch.time.TimeSource;

/**
 * Lets the calls in progress finish before the process ends: the instance reports not ready first, then accepts no
 * connections, and ends with its last call or shortly before the platform kills it. Confined to one event loop.
 */
final class GracefulStop {

    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 20;

    /** Calls that have not finished are closed in an orderly way this long before the platform kills the process. */
    private static final long FORCED_CLOSE_LEAD_MILLIS = 500;

    /**
     * Calls that wait for capacity are refused this long before the calls under way are closed, since most calls that are
     * sent later would be cut off.
     */
    private static final long REFUSAL_LEAD_MILLIS = 1_500;

    private final ForwardingService service;
    private final Supplier<GraceSettings> settings;
    private final Supplier<CompletionStage<Boolean>> lastWrites;
    private final TimeSource time;
    private final CompletableFuture<Integer> stopped = new CompletableFuture<>();
    private long requestedAtMillis;

    /**
     * Creates a stop that has not begun.
     *
     * @param service the service to drain, not null
     * @param settings the times, read at each check since they may be reloaded, not null
     * @param lastWrites writes what has to outlive the process, once the calls have ended, not null
     * @param time the clock and timers, not null
     */
    GracefulStop(
            ForwardingService service,
            Supplier<GraceSettings> settings,
            Supplier<CompletionStage<Boolean>> lastWrites,
            TimeSource time) {
        this.service = Objects.requireNonNull(service, "service");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.lastWrites = Objects.requireNonNull(lastWrites, "lastWrites");
        this.time = Objects.requireNonNull(time, "time");
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
        requestedAtMillis = time.monotonicMillis();
        service.startDraining();
        service.logState("leaving");
        check();
    }

    private void check() {
        long elapsedMillis = time.monotonicMillis() - requestedAtMillis;
        if (elapsedMillis >= settings.get().notReadyMillis()) {
            service.stopAccepting();
            long forcedCloseMillis = settings.get().graceMillis() - FORCED_CLOSE_LEAD_MILLIS;
            if (elapsedMillis >= forcedCloseMillis - REFUSAL_LEAD_MILLIS) {
                service.refuseWaitingCalls();
            }
            boolean graceElapsed = elapsedMillis >= forcedCloseMillis;
            boolean drained = service.openCallsCount() == 0 && service.callerConnectionsCount() == 0;
            if (graceElapsed || drained) {
                service.logState("stopped");
                finish(graceElapsed);
                return;
            }
        }
        time.schedule(DRAIN_CHECK_INTERVAL_MILLIS, this::check);
    }

    /** Waits for the last writes only while the platform does not yet kill the process. */
    private void finish(boolean graceElapsed) {
        CompletionStage<Boolean> writes = lastWrites.get();
        if (graceElapsed) {
            stopped.complete(service.openCallsCount());
        } else {
            writes.thenRun(() -> stopped.complete(service.openCallsCount()));
        }
    }
}
