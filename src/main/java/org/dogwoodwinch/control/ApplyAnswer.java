package org.dogwoodwinch.control;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.catalogue.CatalogueProblem;

/**
 * The response of the control endpoint to a catalogue edit.
 *
 * @param verdict the outcome of the edit, not null
 * @param editId the id of the edit, not null
 * @param revision the revision that the edit created if accepted, the current revision if rejected; otherwise -1
 * @param winnerId the id of the conflicting edit that was accepted first, if rejected; otherwise empty, not null
 * @param winnerAuthor the author of that conflicting edit, if rejected; otherwise empty, not null
 * @param problems all validation errors, if the edit is invalid; otherwise empty, not null
 * @param detail the reason why the outcome is not known yet; otherwise empty, not null
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

    /** The outcomes of an edit. */
    public enum Verdict {
        /** The edit was accepted and takes effect on every instance. */
        ACCEPTED,
        /** Another edit of the same base revision was accepted first. */
        REJECTED,
        /** The edit is invalid and was not published. */
        FAULTY,
        /** The outcome is not known yet; the client polls again. */
        UNKNOWN_YET
    }

    /** Validates and copies the components. Missing optional components become empty. */
    public ApplyAnswer {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(editId, "editId");
        winnerId = Objects.requireNonNullElse(winnerId, "");
        winnerAuthor = Objects.requireNonNullElse(winnerAuthor, "");
        problems = problems == null ? List.of() : List.copyOf(problems);
        detail = Objects.requireNonNullElse(detail, "");
    }

    /**
     * Converts a result to a response.
     *
     * @param result the result, not null
     * @return the response
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
