package org.dogwoodwinch.control;

import java.util.List;

/**
 * The numbers of requests that one instance has in flight on targets that it knows to be out of service.
 *
 * <p>The instance sends no new requests to a listed target. Nothing is known about a target that is not listed.
 *
 * @param lines one line for each target, not null
 */
public record DrainReport(List<TargetInFlight> lines) {

    /** Copies the list. A missing list becomes empty. */
    public DrainReport {
        lines = lines == null ? List.of() : List.copyOf(lines);
    }

    /**
     * The number of requests in flight on one target.
     *
     * @param target the name of the target, not null
     * @param urgent the number of urgent requests in flight
     * @param all the number of all requests in flight
     */
    public record TargetInFlight(String target, int urgent, int all) {}
}
