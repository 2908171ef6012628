package org.dogwoodwinch.replay;

import java.util.Objects;

/**
 * Something that befalls an engine in a trace.
 *
 * @param atMillis when, in milliseconds from the start
 * @param engine the engine's name, not null
 * @param kind what, not null
 * @param durationMillis how long, in milliseconds
 */
public record TraceFault(long atMillis, String engine, Kind kind, long durationMillis) {

    /** What befalls an engine. */
    public enum Kind {
        /** It crashes, loses its cache and what it runs, and comes back after the duration. */
        CRASH,
        /** It is marked as leaving, finishes what it has, and comes back after the duration. */
        DRAIN,
        /** It is marked as leaving and taken away for the duration after a grace of 20 s. */
        WITHDRAW
    }

    /** Checks the parts. */
    public TraceFault {
        Objects.requireNonNull(engine, "engine");
        Objects.requireNonNull(kind, "kind");
    }
}
