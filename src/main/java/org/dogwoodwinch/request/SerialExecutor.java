package org.dogwoodwinch.request;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time, in order, on whichever thread brings one.
 *
 * <p>A request hears from its caller, its targets, its claim and its timers on different threads. With a lock held
 * during callbacks, two requests could wait for each other; here no lock is held while a task runs, and a task that
 * brings another one is finished first.
 */
final class SerialExecutor {

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final Consumer<RuntimeException> onFault;

    /**
     * Creates a queue.
     *
     * @param onFault hears what a task throws; the tasks after it still run, or one fault would leave its caller without
     *     an end for good
     */
    SerialExecutor(Consumer<RuntimeException> onFault) {
        this.onFault = onFault;
    }

    void execute(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() != 0) {
            return;
        }
        do {
            runCatchingFaults(tasks.remove());
        } while (pending.decrementAndGet() != 0);
    }

    private void runCatchingFaults(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            onFault.accept(e);
        }
    }
}
