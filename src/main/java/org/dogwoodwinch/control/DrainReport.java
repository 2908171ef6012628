package org.dogwoodwinch.control;

import java.util.List;

/**
 * What one instance has in flight on the targets that it knows to be out of service.
 *
 * <p>A target that is listed is one that the instance sends nothing new to; one that is not listed says nothing.
 *
 * @param lines one for each target, not null
 */
public record DrainReport(List<TargetInFlight> lines) {

    /** Copies the list; one that is missing is empty. */
    public DrainReport {
        lines = lines == null ? List.of() : List.copyOf(lines);
    }

    /**
     * One target.
     *
     * @param target its name, not null
     * @param urgent urgent requests in flight
     * @param all all requests in flight
     */
    public record TargetInFlight(String target, int urgent, int all) {}
}
