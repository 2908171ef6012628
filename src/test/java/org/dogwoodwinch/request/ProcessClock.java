package org.dogwoodwinch.request;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.time.VirtualTimeSource;

/** The clock of one process of a {@link RequestWorld}: what falls due while it is paused happens afterwards, in order. */
final class ProcessClock implements TimeSource {

    private final VirtualTimeSource world;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;

    ProcessClock(VirtualTimeSource world) {
        this.world = world;
    }

    @Override
    public long monotonicNanos() {
        return world.monotonicNanos();
    }

    @Override
    public long wallMillis() {
        return world.wallMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        boolean[] cancelled = new boolean[1];
        Cancellable timer = world.schedule(
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
            held.add(task);
        } else if (!dead) {
            task.run();
        }
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        while (!paused && !held.isEmpty()) {
            deliver(held.remove());
        }
    }

    void kill() {
        dead = true;
        paused = false;
        held.clear();
    }
}
