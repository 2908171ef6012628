package org.dogwoodwinch.fault;

import java.util.Objects;

/**
 * One fault of a schedule.
 *
 * @param kind what happens, not null
 * @param subject whom it befalls: an instance's or an engine's name, or {@link #PLATFORM}, not null
 * @param startMillis when it begins, in milliseconds from the start of the schedule, zero or more
 * @param durationMillis how long it lasts, in milliseconds, zero or more
 */
public record Fault(FaultKind kind, String subject, long startMillis, long durationMillis) {

    /** The subject of a fault that befalls no single process. */
    public static final String PLATFORM = "platform";

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if a time is negative
     */
    public Fault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(subject, "subject");
        if (startMillis < 0 || durationMillis < 0) {
            throw new IllegalArgumentException(
                    "startMillis and durationMillis must not be negative: " + startMillis + ", " + durationMillis);
        }
    }

    /**
     * Returns when it ends.
     *
     * @return milliseconds from the start of the schedule
     */
    public long endMillis() {
        return startMillis + durationMillis;
    }
}
