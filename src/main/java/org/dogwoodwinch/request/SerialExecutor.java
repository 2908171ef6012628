package org.dogwoodwinch.request;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs tasks one at a time and in submission order, on the threads that submit them.
 *
 * <p>Events of a request arrive on different threads: from its caller, its targets, its claim and its timers. Holding a
 * lock during callbacks could deadlock two requests. This executor holds no lock while a task runs, and a task that
 * submits another task completes before that task starts.
 */
final class SerialExecutor {

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final Consumer<RuntimeException> onFault;

    /**
     * Creates an executor.
     *
     * @param onFault receives exceptions thrown by tasks. Later tasks still run, since otherwise one exception would
     *     leave the caller without an answer forever
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
