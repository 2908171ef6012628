package org.dogwoodwinch.measure.capacity;

/** Measures the slopes of one part of the system. */
@FunctionalInterface
public interface CapacityProbe {

    /**
     * Measures.
     *
     * @param quick whether to take few points with few repetitions
     * @return the points and the lines that follow from them
     */
    CapacityFinding measure(boolean quick);
}
