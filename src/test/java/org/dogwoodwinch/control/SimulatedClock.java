package org.dogwoodwinch.control;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * The clock of one instance of a {@link ControlSimulation}. It runs at its own rate, and its process can be paused or
 * killed.
 */
final class SimulatedClock implements TimeSource {

    private final VirtualTimeSource simulationTime;
    private final double rate;
    private final long offsetNanos;
    private final Deque<Runnable> deferredTasks = new ArrayDeque<>();
    private boolean paused;
    private boolean killed;

    SimulatedClock(VirtualTimeSource simulationTime, double rate, long offsetNanos) {
        this.simulationTime = simulationTime;
        this.rate = rate;
        this.offsetNanos = offsetNanos;
    }

    @Override
    public long monotonicNanos() {
        return (long) (simulationTime.monotonicNanos() * rate) + offsetNanos;
    }

    @Override
    public long wallMillis() {
        return simulationTime.wallMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        return simulationTime.schedule((long) Math.ceil(delayMillis / rate), () -> runOrDefer(task));
    }

    /**
     * Runs a task of this process immediately, defers it while the process is paused, or drops it if the process was
     * killed.
     */
    void runOrDefer(Runnable task) {
        if (paused) {
            deferredTasks.add(task);
        } else if (!killed) {
            task.run();
        }
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!paused && !deferredTasks.isEmpty()) {
            runOrDefer(deferredTasks.remove());
        }
    }

    void kill() {
        killed = true;
        paused = false;
        deferredTasks.clear();
    }

    boolean isRunning() {
        return !paused && !killed;
    }
}
