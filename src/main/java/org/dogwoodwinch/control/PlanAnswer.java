package org.dogwoodwinch.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.authority.PlanRecord;

/**
 * What is known of a planned change.
 *
 * @param verdict whether the log has taken it, not null
 * @param planId the plan, not null
 * @param detail why it was refused, or what is waited for; else empty, not null
 * @param plan how far it is, where it was taken; else null
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record PlanAnswer(Verdict verdict, String planId, String detail, PlanRecord plan) {

    /** Whether the log has taken a plan or its cancellation. */
    public enum Verdict {
        /** It was taken, on every instance alike. */
        TAKEN,
        /** It was refused, on every instance alike, or before it was published. */
        REFUSED,
        /** Ask again. */
        UNKNOWN_YET
    }

    /** Checks the parts; a detail that is missing is empty. */
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
                .orElseGet(() -> unknownYet(planId, "not read from the log as far as this instance is"));
    }
}
