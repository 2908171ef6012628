package org.dogwoodwinch.catalogue;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;

/**
 * One line of the catalogue's history.
 *
 * @param id the edit's id, not null
 * @param author who made it, not null
 * @param editedAtMillis when, by the time of day of the instance that took it
 * @param offset where it stands on the log
 * @param baseRevision the revision that it was made from
 * @param verdict what became of it, not null
 * @param winnerId where outrun, the edit that came first; else empty, not null
 * @param winnerAuthor where outrun, who made the edit that came first; else empty, not null
 * @param winnerRevision where outrun, the revision in force when this was read; else the revision that it made or -1
 * @param detail where invalid, the first fault; else empty, not null
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record EditRecord(
        String id,
        String author,
        long editedAtMillis,
        long offset,
        long baseRevision,
        Verdict verdict,
        String winnerId,
        String winnerAuthor,
        long winnerRevision,
        String detail) {

    /** What can become of an edit. */
    public enum Verdict {
        /** It made a new revision. */
        ACCEPTED,
        /** Another edit of the same base came first. */
        OUTRUN,
        /** It would have made a catalogue that contradicts itself. */
        INVALID
    }

    /** Checks the parts; a text that is missing is empty. */
    public EditRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(verdict, "verdict");
        winnerId = Objects.requireNonNullElse(winnerId, "");
        winnerAuthor = Objects.requireNonNullElse(winnerAuthor, "");
        detail = Objects.requireNonNullElse(detail, "");
    }

    /**
     * Writes down an edit and what became of it.
     *
     * @param offset where the edit stands on the log
     * @param edit the edit, not null
     * @param outcome what became of it, not null
     * @return the line
     */
    static EditRecord of(long offset, CatalogueEdit edit, EditOutcome outcome) {
        return outcome.match(
                accepted -> of(offset, edit, Verdict.ACCEPTED, "", "", accepted.revision(), ""),
                conflict -> of(
                        offset,
                        edit,
                        Verdict.OUTRUN,
                        conflict.winnerId(),
                        conflict.winnerAuthor(),
                        conflict.winnerRevision(),
                        ""),
                invalid -> of(offset, edit, Verdict.INVALID, "", "", Catalogue.NO_REVISION, invalid.detail()));
    }

    /**
     * Returns what became of the edit.
     *
     * @return the outcome
     */
    public EditOutcome outcome() {
        if (verdict == Verdict.ACCEPTED) {
            return new EditOutcome.Accepted(winnerRevision);
        }
        return verdict == Verdict.OUTRUN
                ? new EditOutcome.Conflict(winnerId, winnerAuthor, winnerRevision)
                : new EditOutcome.Invalid(detail);
    }

    private static EditRecord of(
            long offset,
            CatalogueEdit edit,
            Verdict verdict,
            String winnerId,
            String winnerAuthor,
            long winnerRevision,
            String detail) {
        return new EditRecord(
                edit.id(),
                edit.author(),
                edit.editedAtMillis(),
                offset,
                edit.baseRevision(),
                verdict,
                winnerId,
                winnerAuthor,
                winnerRevision,
                detail);
    }
}
