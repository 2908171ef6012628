package org.dogwoodwinch.forwarding;

import java.util.Arrays;
import java.util.OptionalDouble;

/** The last observations of a quantity, and their median. Not thread-safe. */
final class MedianWindow {

    /** A third of outliers leaves the median of so many observations nearly unchanged. */
    private static final int MAX_COUNT = 15;

    /** Fewer observations do not show what is typical. */
    private static final int MIN_COUNT = 5;

    private final double[] values = new double[MAX_COUNT];
    private int count;
    private int next;

    void add(double value) {
        values[next] = value;
        next = (next + 1) % MAX_COUNT;
        count = Math.min(MAX_COUNT, count + 1);
    }

    /** Returns the median; empty while too few observations are known. */
    OptionalDouble median() {
        if (count < MIN_COUNT) {
            return OptionalDouble.empty();
        }
        double[] sorted = Arrays.copyOf(values, count);
        Arrays.sort(sorted);
        return OptionalDouble.of(sorted[count / 2]);
    }
}
