package org.dogwoodwinch.catalogue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The state of the catalogue, derived by applying the edits of the log in offset order. Not thread-safe.
 *
 * <p>Of several edits based on the same revision, the first one in log order is accepted, and the others conflict with
 * it. The result depends only on the records, so it is the same on every instance.
 */
public final class CatalogueState {

    /** The greatest number of edits in the history, which bounds the size of the state. */
    public static final int HISTORY_LENGTH = 256;

    private Catalogue catalogue;
    private final Deque<EditRecord> history;

    /**
     * Restores the state.
     *
     * @param catalogue the catalogue, not null
     * @param history the history of edits, oldest first, not null
     */
    public CatalogueState(Catalogue catalogue, List<EditRecord> history) {
        this.catalogue = Objects.requireNonNull(catalogue, "catalogue");
        this.history = new ArrayDeque<>(history);
    }

    /**
     * Applies one edit; a duplicate of an edit in the history has no effect and returns the original outcome.
     *
     * @param offset the edit's log offset
     * @param edit the edit, not null
     * @return the outcome
     */
    public EditOutcome apply(long offset, CatalogueEdit edit) {
        Optional<EditRecord> previous = find(edit.id());
        if (previous.isPresent()) {
            return previous.get().outcome();
        }
        EditOutcome outcome = applyNew(offset, edit);
        history.addLast(EditRecord.of(offset, edit, outcome));
        if (history.size() > HISTORY_LENGTH) {
            history.removeFirst();
        }
        return outcome;
    }

    /**
     * Returns the catalogue after the last applied edit.
     *
     * @return the catalogue; {@link Catalogue#EMPTY} before the first edit
     */
    public Catalogue catalogue() {
        return catalogue;
    }

    /**
     * Returns the history of edits with their outcomes.
     *
     * @return at most {@link #HISTORY_LENGTH} records, oldest first
     */
    public List<EditRecord> history() {
        return List.copyOf(history);
    }

    /**
     * Finds an edit in the history.
     *
     * @param editId the edit's id, not null
     * @return the record of the edit, or empty if the edit was not applied or has left the history
     */
    public Optional<EditRecord> find(String editId) {
        return history.stream()
                .filter(editRecord -> editRecord.id().equals(editId))
                .findFirst();
    }

    private EditOutcome applyNew(long offset, CatalogueEdit edit) {
        if (edit.baseRevision() != catalogue.revision()) {
            Optional<EditRecord> winner = history.stream()
                    .filter(editRecord -> editRecord.verdict() == EditRecord.Verdict.ACCEPTED
                            && editRecord.offset() == catalogue.revision())
                    .findFirst();
            return new EditOutcome.Conflict(
                    winner.map(EditRecord::id).orElse(""),
                    winner.map(EditRecord::author).orElse(""),
                    catalogue.revision());
        }
        Catalogue next = edit.change().applyTo(catalogue, offset);
        List<CatalogueProblem> problems = CatalogueValidator.validate(next);
        if (!problems.isEmpty()) {
            return new EditOutcome.Invalid(problems.get(0).toString());
        }
        catalogue = next;
        return new EditOutcome.Accepted(offset);
    }
}
