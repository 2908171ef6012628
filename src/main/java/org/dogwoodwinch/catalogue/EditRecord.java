package org.dogwoodwinch.catalogue;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Objects;

/**
 * An edit in the history of the catalogue, with its outcome.
 *
 * @param id the edit's id, not null
 * @param author the author, not null
 * @param editedAtMillis the wall-clock time of the edit at the instance that accepted it
 * @param offset the log offset of the edit
 * @param baseRevision the revision on which the edit is based
 * @param verdict the kind of outcome, not null
 * @param winnerId for {@link Verdict#OUTRUN}, the id of the edit that created the current revision; else empty, not
 *     null
 * @param winnerAuthor for {@link Verdict#OUTRUN}, the author of that edit; else empty, not null
 * @param winnerRevision for {@link Verdict#OUTRUN}, the revision that was current when this edit was applied; for
 *     {@link Verdict#ACCEPTED}, the revision that it created; else -1
 * @param detail for {@link Verdict#INVALID}, the first problem; else empty, not null
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

    /** The kinds of outcome of an edit. */
    public enum Verdict {
        /** The edit created a new revision. */
        ACCEPTED,
        /** The edit conflicts with another one that was accepted before it. */
        OUTRUN,
        /** The edit would have created an invalid catalogue. */
        INVALID
    }

    /** Validates the components; a missing text becomes empty. */
    public EditRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(verdict, "verdict");
        winnerId = Objects.requireNonNullElse(winnerId, "");
        winnerAuthor = Objects.requireNonNullElse(winnerAuthor, "");
        detail = Objects.requireNonNullElse(detail, "");
    }

    /**
     * Creates the record of an edit and its outcome.
     *
     * @param offset the log offset of the edit
     * @param edit the edit, not null
     * @param outcome the outcome, not null
     * @return the record
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
     * Returns the outcome of the edit.
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
