package org.dogwoodwinch.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.catalogue.CatalogueProblem;

/**
 * What the control endpoint writes about an edit.
 *
 * @param verdict what became of it, not null
 * @param editId the edit, not null
 * @param revision the revision that it made, or the one in force where it was rejected; -1 elsewhere
 * @param winnerId where rejected, the edit that came first, not null
 * @param winnerAuthor where rejected, who made that one, not null
 * @param problems where faulty, all faults, not null
 * @param detail where not known yet, what is waited for, not null
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record ApplyAnswer(
        Verdict verdict,
        String editId,
        long revision,
        String winnerId,
        String winnerAuthor,
        List<CatalogueProblem> problems,
        String detail) {

    /** What can become of an edit. */
    public enum Verdict {
        /** In force, or soon, on every instance. */
        ACCEPTED,
        /** Another edit of the same base came first. */
        REJECTED,
        /** It has faults and was not published. */
        FAULTY,
        /** Ask again. */
        UNKNOWN_YET
    }

    /** Checks and copies the parts; what is missing is empty. */
    public ApplyAnswer {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(editId, "editId");
        winnerId = Objects.requireNonNullElse(winnerId, "");
        winnerAuthor = Objects.requireNonNullElse(winnerAuthor, "");
        problems = problems == null ? List.of() : List.copyOf(problems);
        detail = Objects.requireNonNullElse(detail, "");
    }

    /**
     * Makes the answer of a result.
     *
     * @param result the result, not null
     * @return the answer
     */
    public static ApplyAnswer of(ApplyResult result) {
        if (result instanceof ApplyResult.Accepted value) {
            return new ApplyAnswer(Verdict.ACCEPTED, value.editId(), value.revision(), "", "", List.of(), "");
        }
        if (result instanceof ApplyResult.Rejected value) {
            return new ApplyAnswer(
                    Verdict.REJECTED,
                    value.editId(),
                    value.revision(),
                    value.winnerId(),
                    value.winnerAuthor(),
                    List.of(),
                    "");
        }
        if (result instanceof ApplyResult.Faulty value) {
            return new ApplyAnswer(Verdict.FAULTY, value.editId(), -1, "", "", value.problems(), "");
        }
        ApplyResult.UnknownYet value = (ApplyResult.UnknownYet) result;
        return new ApplyAnswer(Verdict.UNKNOWN_YET, value.editId(), -1, "", "", List.of(), value.detail());
    }
}
