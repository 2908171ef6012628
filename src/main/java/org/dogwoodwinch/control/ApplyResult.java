package org.dogwoodwinch.control;

import java.util.List;
import org.dogwoodwinch.catalogue.CatalogueProblem;

/** The outcome of a catalogue edit, as reported to the operator. */
public sealed interface ApplyResult {

    /**
     * The edit is accepted. Every instance reaches the same decision.
     *
     * @param editId the id of the edit, not null
     * @param revision the revision that it created
     */
    record Accepted(String editId, long revision) implements ApplyResult {}

    /**
     * Another edit of the same base revision was accepted first.
     *
     * @param editId the id of the edit, not null
     * @param winnerId the id of the edit that was accepted first, empty if no longer in the history, not null
     * @param winnerAuthor the author of that edit, empty if no longer in the history, not null
     * @param revision the current revision
     */
    record Rejected(String editId, String winnerId, String winnerAuthor, long revision) implements ApplyResult {}

    /**
     * The edit is invalid and was not published.
     *
     * @param editId the id of the edit, not null
     * @param problems the validation errors, one or more
     */
    record Faulty(String editId, List<CatalogueProblem> problems) implements ApplyResult {

        /** Copies the list of problems. */
        public Faulty {
            problems = List.copyOf(problems);
        }
    }

    /**
     * The outcome is not known yet, because this instance has not read the log up to the edit. Querying the status
     * again or applying the same edit id again is safe.
     *
     * @param editId the id of the edit, not null
     * @param detail the reason why the outcome is not known, not null
     */
    record UnknownYet(String editId, String detail) implements ApplyResult {}
}
