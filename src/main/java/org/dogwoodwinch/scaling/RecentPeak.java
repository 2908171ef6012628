package org.dogwoodwinch.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/** The highest sample of a sliding window. Not thread-safe. */
final class RecentPeak {

    /** Samples with falling values: one that a later sample reaches can no longer be the highest. */
    private final Deque<Sample> falling = new ArrayDeque<>();

    /**
     * Adds a sample and removes those that are older than the window.
     *
     * @param value the sample
     * @param windowMillis length of the window
     * @param nowMillis monotonic milliseconds, not before those of the last sample
     */
    void add(double value, long windowMillis, long nowMillis) {
        while (!falling.isEmpty() && falling.peekLast().value <= value) {
            falling.removeLast();
        }
        falling.addLast(new Sample(value, nowMillis));
        while (falling.peekFirst().millis < nowMillis - windowMillis) {
            falling.removeFirst();
        }
    }

    /**
     * Returns the highest sample.
     *
     * @return the highest sample, or zero if there is none
     */
    double value() {
        return falling.isEmpty() ? 0 : falling.peekFirst().value;
    }

    private record Sample(double value, long millis) {}
}
