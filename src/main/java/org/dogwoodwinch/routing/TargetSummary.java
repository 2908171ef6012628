package org.dogwoodwinch.routing;

import java.util.Objects;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.Target;

/**
 * A target's state as known to this instance, for status pages and the role planner.
 *
 * @param target the target, not null
 * @param role the phases that the target serves, not null
 * @param usable whether the target accepts new requests at present
 * @param draining whether the target is draining: the platform is about to remove it, or a peer or the target itself
 *     reported a drain
 * @param outstandingRequests requests that this instance has in flight on the target
 * @param prefillBacklogTokens estimated prompt tokens that wait on the target
 * @param decodeBacklogTokens estimated tokens still to be generated on the target
 * @param slowdown the moving average of the actual over the expected time to first token; 1 is as expected
 */
public record TargetSummary(
        Target target,
        EngineRole role,
        boolean usable,
        boolean draining,
        int outstandingRequests,
        long prefillBacklogTokens,
        long decodeBacklogTokens,
        double slowdown) {

    /** Checks the components. */
    public TargetSummary {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(role, "role");
    }
}
