package org.dogwoodwinch.routing;

import java.util.Objects;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.Target;

/**
 * One target as this instance sees it, for people and for the role planner.
 *
 * @param target the target, not null
 * @param role the phases it serves, not null
 * @param usable whether new work may go to it now
 * @param leaving whether it is leaving
 * @param outstandingRequests what this instance has in flight on it
 * @param prefillBacklogTokens prompt tokens believed to wait on it
 * @param decodeBacklogTokens tokens believed still to be generated on it
 * @param slowness how much longer its first tokens took than expected, averaged; one is as expected
 */
public record TargetSummary(
        Target target,
        EngineRole role,
        boolean usable,
        boolean leaving,
        int outstandingRequests,
        long prefillBacklogTokens,
        long decodeBacklogTokens,
        double slowness) {

    /** Checks the parts. */
    public TargetSummary {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(role, "role");
    }
}
