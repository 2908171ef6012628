package org.dogwoodwinch.http;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.time.VirtualTimeSource;

/** A paused clock that tells when a timer of a certain delay has been set, so that a test knows when to advance. */
public final class WatchedTime implements TimeSource {

    private final VirtualTimeSource time = new VirtualTimeSource(1_000);
    private final Map<Long, CompletableFuture<Void>> scheduled = new ConcurrentHashMap<>();

    /** Waits until a timer of this delay is set, then lets that much time go by. */
    public void awaitAndPass(long delayMillis) {
        futureOf(delayMillis).join();
        synchronized (time) {
            time.advanceMillis(delayMillis);
        }
    }

    @Override
    public long monotonicNanos() {
        synchronized (time) {
            return time.monotonicNanos();
        }
    }

    @Override
    public long wallMillis() {
        synchronized (time) {
            return time.wallMillis();
        }
    }

    @Override
    public Cancellable schedule(long delayMillis, Runnable task) {
        Cancellable timer;
        synchronized (time) {
            timer = time.schedule(delayMillis, task);
        }
        futureOf(delayMillis).complete(null);
        return timer;
    }

    private CompletableFuture<Void> futureOf(long delayMillis) {
        return scheduled.computeIfAbsent(delayMillis, _delay -> new CompletableFuture<>());
    }
}
