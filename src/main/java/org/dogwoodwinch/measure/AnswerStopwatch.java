package org.dogwoodwinch.measure;

import java.util.Objects;
import org.dogwoodwinch.time.TimeSource;

/** Measures when the first part of an answer and its end arrive, from the creation of the stopwatch. Not thread-safe. */
final class AnswerStopwatch {

    private final TimeSource time;
    private final long startNanos;
    private long firstNanos;

    /**
     * Starts a stopwatch.
     *
     * @param time the clock, not null
     */
    AnswerStopwatch(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
        this.startNanos = time.monotonicNanos();
    }

    /** Records that a part of the answer arrived. */
    void onPart() {
        firstNanos = firstNanos == 0 ? elapsedNanos() : firstNanos;
    }

    /** Returns the time until the first part; zero if there was none. */
    long firstNanos() {
        return firstNanos;
    }

    long elapsedNanos() {
        return time.monotonicNanos() - startNanos;
    }
}
