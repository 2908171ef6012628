package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.authority.PlannedChange;

/**
 * An operator's, or the role planner's, wish for a change.
 *
 * @param planId names the plan; handing the same one in again is safe, not null
 * @param author who asks, not null
 * @param change the change; its group is filled in, not null
 */
public record PlanRequest(String planId, String author, PlannedChange change) {

    /** Checks the parts. */
    public PlanRequest {
        Objects.requireNonNull(planId, "planId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(change, "change");
    }
}
