package org.dogwoodwinch.replay;

import java.util.Objects;

/**
 * An engine group of a trace.
 *
 * @param name the group's name, not null
 * @param engines how many engines it has
 */
public record TraceGroup(String name, int engines) {

    /** Checks the parts. */
    public TraceGroup {
        Objects.requireNonNull(name, "name");
    }
}
