package org.dogwoodwinch.request;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.time.VirtualTimeSource;

/**
 * The clock of one process of a {@link RequestSimulation}. Tasks that become due while the process is paused run in
 * order once it resumes.
 */
final class ProcessClock implements TimeSource {

    private final VirtualTimeSource virtualTime;
    private final Deque<Runnable> deferredTasks = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;

    ProcessClock(VirtualTimeSource virtualTime) {
        this.virtualTime = virtualTime;
    }

    @Override
    public long monotonicNanos() {
        return virtualTime.monotonicNanos();
    }

    @Override
    public long wallMillis() {
        return virtualTime.wallMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        boolean[] cancelled = new boolean[1];
        Cancellable timer = virtualTime.schedule(
                delayMillis,
                () -> deliver(() -> {
                    if (!cancelled[0]) {
                        task.run();
                    }
                }));
        return () -> {
            cancelled[0] = true;
            timer.cancel();
        };
    }

    void deliver(Runnable task) {
        if (paused) {
            deferredTasks.add(task);
        } else if (!dead) {
            task.run();
        }
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!paused && !deferredTasks.isEmpty()) {
            deliver(deferredTasks.remove());
        }
    }

    void kill() {
        dead = true;
        paused = false;
        deferredTasks.clear();
    }
}
