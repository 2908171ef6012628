package org.dogwoodwinch.measure.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time of the calling thread. */
final class CpuClock {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private CpuClock() {}

    /**
     * Runs something and measures the processor time that this thread spent on it.
     *
     * @param work what to run, not null
     * @return nanoseconds
     */
    static long nanosOf(Runnable work) {
        long startNanos = THREADS.getCurrentThreadCpuTime();
        work.run();
        return THREADS.getCurrentThreadCpuTime() - startNanos;
    }
}
