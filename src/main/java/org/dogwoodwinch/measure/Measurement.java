package org.dogwoodwinch.measure;

/** One measurement that {@code bin/measure NAME} runs. */
public interface Measurement {

    /**
     * Returns the name that the launcher knows it by.
     *
     * @return one lower-case word
     */
    String name();

    /**
     * Returns what it measures.
     *
     * @return one line
     */
    String description();

    /**
     * Measures.
     *
     * @param quick whether to end within 50 seconds, with fewer repetitions
     * @return the figures and the bounds
     */
    MeasurementReport run(boolean quick);
}
