package org.dogwoodwinch.faultrun;

import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.history.FleetEvent;
import org.dogwoodwinch.history.HistoryRecorder;
import org.dogwoodwinch.standin.http.StandInFleet;
import org.dogwoodwinch.time.TimeSource;

/** Has one engine after the other leave for a while and come back, as the instance list shows it. Thread-safe. */
final class RunLeaving {

    private static final long AWAY_MILLIS = 9_000;
    private static final long BACK_MILLIS = 3_000;

    private final StandInFleet fleet;
    private final List<String> engineNames;
    private final TimeSource time;
    private final HistoryRecorder history;
    private boolean running = true;
    private boolean held;

    /**
     * Creates it at rest.
     *
     * @param fleet the engines and the list, not null
     * @param engineNames the engines in the fleet's order, not null
     * @param time gives the run's common time of day and runs the timers, not null
     * @param history takes the events, not null
     */
    RunLeaving(StandInFleet fleet, List<String> engineNames, TimeSource time, HistoryRecorder history) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.engineNames = List.copyOf(engineNames);
        this.time = Objects.requireNonNull(time, "time");
        this.history = Objects.requireNonNull(history, "history");
    }

    /** Begins with the first engine. */
    void start() {
        time.schedule(BACK_MILLIS, () -> leave(0));
    }

    /** No engine leaves any more. */
    synchronized void stop() {
        running = false;
    }

    /** The list lags: it shows no change until {@link #release()}. */
    synchronized void hold() {
        held = true;
    }

    /** The list shows changes again. */
    synchronized void release() {
        held = false;
    }

    private synchronized void leave(int engine) {
        if (!running) {
            return;
        }
        if (held) {
            time.schedule(BACK_MILLIS, () -> leave(engine));
            return;
        }
        show(engine, true);
        history.record(new FleetEvent.TargetLeaving(time.wallMillis(), engineNames.get(engine)));
        time.schedule(AWAY_MILLIS, () -> comeBack(engine));
    }

    private synchronized void comeBack(int engine) {
        history.record(new FleetEvent.TargetBack(time.wallMillis(), engineNames.get(engine)));
        show(engine, false);
        time.schedule(BACK_MILLIS, () -> leave((engine + 1) % engineNames.size()));
    }

    private void show(int engine, boolean isLeaving) {
        fleet.engines().get(engine).setLeaving(isLeaving);
        fleet.instanceList().shown().stream()
                .filter(line -> line.name().equals(engineNames.get(engine)))
                .findFirst()
                .ifPresent(line -> fleet.instanceList().put(leaving(line, isLeaving)));
    }

    private static ListedInstance leaving(ListedInstance line, boolean isLeaving) {
        return new ListedInstance(
                line.name(),
                line.kind(),
                line.host(),
                line.port(),
                line.peerPort(),
                line.dataCentre(),
                isLeaving,
                line.group());
    }
}
