package org.dogwoodwinch.control;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.time.VirtualTimeSource;

/** The clock of one instance of a {@link ControlWorld}: it runs at its own speed, and its process can be paused or killed. */
final class InstanceClock implements TimeSource {

    private final VirtualTimeSource world;
    private final double speed;
    private final long offsetNanos;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private boolean paused;
    private boolean dead;

    InstanceClock(VirtualTimeSource world, double speed, long offsetNanos) {
        this.world = world;
        this.speed = speed;
        this.offsetNanos = offsetNanos;
    }

    @Override
    public long monotonicNanos() {
        return (long) (world.monotonicNanos() * speed) + offsetNanos;
    }

    @Override
    public long wallMillis() {
        return world.wallMillis();
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        return world.schedule((long) Math.ceil(delayMillis / speed), () -> deliver(task));
    }

    /** Runs a task of this process now, or once it is no longer paused, or never. */
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

    boolean isRunning() {
        return !paused && !dead;
    }
}
