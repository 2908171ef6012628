package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.authority.PlannedChange;

/**
 * A request of an operator or of the role planner for a planned change.
 *
 * @param planId the id of the plan; submitting the same id again is idempotent, not null
 * @param author the author of the request, not null
 * @param change the change, not null; its group is determined from the engine
 */
public record PlanRequest(String planId, String author, PlannedChange change) {

    /** Validates the components. */
    public PlanRequest {
        Objects.requireNonNull(planId, "planId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(change, "change");
    }
}
