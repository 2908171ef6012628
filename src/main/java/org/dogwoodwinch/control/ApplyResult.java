package org.dogwoodwinch.control;

import java.util.List;
import org.dogwoodwinch.catalogue.CatalogueProblem;

/** What an operator hears of an edit. */
public sealed interface ApplyResult {

    /**
     * The edit is accepted, on every instance alike.
     *
     * @param editId the edit, not null
     * @param revision the revision that it made
     */
    record Accepted(String editId, long revision) implements ApplyResult {}

    /**
     * Another edit of the same base came first.
     *
     * @param editId the edit, not null
     * @param winnerId the edit that came first, empty where it is forgotten, not null
     * @param winnerAuthor who made that one, empty where it is forgotten, not null
     * @param revision the revision in force
     */
    record Rejected(String editId, String winnerId, String winnerAuthor, long revision) implements ApplyResult {}

    /**
     * The edit has faults and was not published.
     *
     * @param editId the edit, not null
     * @param problems the faults, one or more
     */
    record Faulty(String editId, List<CatalogueProblem> problems) implements ApplyResult {

        /** Copies the list. */
        public Faulty {
            problems = List.copyOf(problems);
        }
    }

    /**
     * It is not known yet: the log was not read as far as the edit. Asking again, or applying the same edit id again, is
     * safe.
     *
     * @param editId the edit, not null
     * @param detail what is waited for, not null
     */
    record UnknownYet(String editId, String detail) implements ApplyResult {}
}
