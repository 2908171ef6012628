package org.dogwoodwinch.measure.capacity;

import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures how much of the heap something keeps; exact with the serial collector that {@code bin/measure} uses. */
final class HeapProbe {

    private static final int COLLECTIONS = 3;

    private HeapProbe() {}

    /**
     * Makes something and measures what it keeps.
     *
     * @param supplier makes it, not null; what it shares with others that live already is not counted
     * @return bytes, zero or more
     */
    static long retainedBytes(Supplier<Object> supplier) {
        long beforeBytes = usedBytes();
        Object made = supplier.get();
        try {
            return Math.max(0, usedBytes() - beforeBytes);
        } finally {
            Reference.reachabilityFence(made);
        }
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
