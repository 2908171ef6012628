package org.dogwoodwinch.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.authority.PlanRecord;

/**
 * The response of the control endpoint about a planned change.
 *
 * @param verdict the outcome of the request, not null
 * @param planId the id of the plan, not null
 * @param detail why the request was refused or why its outcome is not known yet; otherwise empty, not null
 * @param plan the progress of the plan if it was taken; otherwise null
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record PlanAnswer(Verdict verdict, String planId, String detail, PlanRecord plan) {

    /** The outcomes of a request for a plan or for its cancellation. */
    public enum Verdict {
        /** The request was accepted on every instance. */
        TAKEN,
        /** The request was refused on every instance, or before it was published. */
        REFUSED,
        /** The outcome is not known yet; the client polls again. */
        UNKNOWN_YET
    }

    /** Validates the components. A missing detail becomes empty. */
    public PlanAnswer {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(planId, "planId");
        detail = Objects.requireNonNullElse(detail, "");
    }

    static PlanAnswer refused(String planId, String detail) {
        return new PlanAnswer(Verdict.REFUSED, planId, detail, null);
    }

    static PlanAnswer unknownYet(String planId, String detail) {
        return new PlanAnswer(Verdict.UNKNOWN_YET, planId, detail, null);
    }

    static PlanAnswer of(String planId, Optional<PlanRecord> plan) {
        return plan.map(found -> new PlanAnswer(Verdict.TAKEN, planId, "", found))
                .orElseGet(() -> unknownYet(planId, "this instance has not read the plan from the log"));
    }
}
