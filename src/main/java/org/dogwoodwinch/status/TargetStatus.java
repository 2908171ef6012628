package org.dogwoodwinch.status;

import java.util.Objects;

/**
 * A target as one instance sees it.
 *
 * @param name its name, not null
 * @param group its group, not null
 * @param dataCentre its data centre, not null
 * @param address where it listens, not null
 * @param state {@code serving}, {@code leaving}, {@code draining}, {@code changing} or {@code failing}, not null
 * @param role the engine's role in lower case; empty for a plain service or where unknown, not null
 * @param prefillTokens estimated prompt tokens ahead of a new request
 * @param decodeTokens estimated tokens still to be generated ahead of a new request
 * @param inFlightHere attempts of this instance that run on it
 * @param reportAgeMillis the age of its last load report; -1 where there is none
 */
public record TargetStatus(
        String name,
        String group,
        String dataCentre,
        String address,
        String state,
        String role,
        long prefillTokens,
        long decodeTokens,
        int inFlightHere,
        long reportAgeMillis) {

    /** Checks the parts. */
    public TargetStatus {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(role, "role");
    }
}
