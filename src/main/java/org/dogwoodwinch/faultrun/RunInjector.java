package org.dogwoodwinch.faultrun;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.fault.Fault;
import org.dogwoodwinch.fault.FaultInjector;
import org.dogwoodwinch.history.FleetEvent;
import org.dogwoodwinch.history.HistoryRecorder;
import org.dogwoodwinch.standin.MemoryLog;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.standin.http.StandInFleet;
import org.dogwoodwinch.time.TimeSource;

/** Brings the faults of a schedule about on real processes and on the stand-ins around them. */
final class RunInjector implements FaultInjector {

    private static final long STOP_WAIT_SECONDS = 25;
    private static final long SLOW_ANSWER_MILLIS = 800;
    private static final long LAG_MILLIS = 8_000;
    private static final long POISON_EVERY_MILLIS = 300;
    private static final int MANY = 1_000_000;

    private final List<RunDaemon> daemons;
    private final StandInFleet fleet;
    private final List<String> engineNames;
    private final RunOperator operator;
    private final RunLoad load;
    private final InstanceWitness witness;
    private final RunLeaving leaving;
    private final HistoryRecorder history;
    private final TimeSource time;
    private final AtomicInteger poisons = new AtomicInteger();

    /**
     * Creates an injector.
     *
     * @param run the parts of the run, not null
     */
    RunInjector(RunParts run) {
        Objects.requireNonNull(run, "run");
        this.daemons = run.daemons();
        this.fleet = run.fleet();
        this.engineNames = run.engineNames();
        this.operator = run.operator();
        this.load = run.load();
        this.witness = run.witness();
        this.leaving = run.leaving();
        this.history = run.history();
        this.time = run.time();
    }

    @Override
    public void begin(Fault fault) {
        switch (fault.kind()) {
            case KILL -> kill(daemon(fault));
            case PAUSE -> attempt(() -> daemon(fault).process().pause());
            case CUT_OFF -> daemon(fault).cutOff();
            case PLANNED_STOP -> plannedStop(daemon(fault));
            case LOG_OUTAGE -> fleet.log().setMode(MemoryLog.Mode.SILENT);
            case LOG_SLOW -> fleet.log().setAnswerMillis(SLOW_ANSWER_MILLIS);
            case LOG_ANSWER_LOST -> fleet.log().loseAnswers(MANY);
            case INSTANCE_LIST_LAG -> leaving.hold();
            case RACING_OPERATORS -> operator.race();
            case POISON_REQUEST -> poison("poison-" + poisons.incrementAndGet(), time.monotonicMillis(), fault);
            case ENGINE_CRASH -> engine(fault).crash();
            case ENGINE_LAG -> engine(fault).setReportLagMillis(LAG_MILLIS);
        }
    }

    @Override
    public void end(Fault fault) {
        switch (fault.kind()) {
            case KILL -> restart(daemon(fault));
            case PAUSE -> attempt(() -> daemon(fault).process().resume());
            case CUT_OFF -> daemon(fault).join();
            case PLANNED_STOP -> restartAfterStop(daemon(fault));
            case LOG_OUTAGE -> fleet.log().setMode(MemoryLog.Mode.UP);
            case LOG_SLOW -> fleet.log().setAnswerMillis(1);
            case LOG_ANSWER_LOST -> fleet.log().loseAnswers(0);
            case INSTANCE_LIST_LAG -> leaving.release();
            case ENGINE_LAG -> engine(fault).setReportLagMillis(StandInEngineOptions.STANDARD.reportLagMillis());
            case RACING_OPERATORS, POISON_REQUEST, ENGINE_CRASH -> {
                // Over by itself.
            }
        }
    }

    private void kill(RunDaemon daemon) {
        daemon.process().kill();
        witness.onEnded(daemon.name());
    }

    private void plannedStop(RunDaemon daemon) {
        history.record(new FleetEvent.PlannedStop(time.wallMillis(), daemon.name()));
        daemon.process().stop();
    }

    private void restartAfterStop(RunDaemon daemon) {
        if (!daemon.process().awaitEnd(STOP_WAIT_SECONDS)) {
            daemon.process().kill();
        }
        witness.onEnded(daemon.name());
        restart(daemon);
    }

    private void restart(RunDaemon daemon) {
        if (!daemon.process().isAlive()) {
            attempt(daemon.process()::start);
        }
    }

    /** The caller of a request that crashes engines sends it again and again, each time to another instance. */
    private void poison(String id, long beganMillis, Fault fault) {
        if (time.monotonicMillis() - beganMillis > fault.durationMillis()) {
            return;
        }
        String prompt = "Please [crash] at once. [request=" + id + "]";
        load.send(new CallPlan(id, "playlist", WorkClass.STANDARD, true, false, false, prompt, "no answer"));
        time.schedule(POISON_EVERY_MILLIS, () -> poison(id, beganMillis, fault));
    }

    private RunDaemon daemon(Fault fault) {
        return daemons.stream()
                .filter(daemon -> daemon.name().equals(fault.subject()))
                .findFirst()
                .orElseThrow();
    }

    private StandInEngine engine(Fault fault) {
        return fleet.engines().get(engineNames.indexOf(fault.subject()));
    }

    private static void attempt(Signal signal) {
        try {
            signal.send();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Something that needs the operating system. */
    @FunctionalInterface
    private interface Signal {
        void send() throws IOException;
    }
}
