package org.dogwoodwinch.request;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs tasks one at a time, in order, on whichever thread brings one.
 *
 * <p>A request hears from its caller, its targets, its claim and its timers on different threads. With a lock held
 * during callbacks, two requests could wait for each other; here no lock is held while a task runs, and a task that
 * brings another one is finished first.
 */
final class SerialQueue {

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() != 0) {
            return;
        }
        do {
            tasks.remove().run();
        } while (pending.decrementAndGet() != 0);
    }
}
