package org.dogwoodwinch.catalogue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The catalogue as the edits on the log make it, read in offset order. Not thread-safe.
 *
 * <p>The first edit on a base in log order is accepted; every later one on that base names a revision that is gone. The
 * result depends on nothing but the records, so it is the same on every instance.
 */
public final class CatalogueFold {

    /** How many edits the history keeps, so that the state stays bounded. */
    public static final int HISTORY_LENGTH = 256;

    private Catalogue catalogue;
    private final Deque<EditRecord> history;

    /**
     * Creates the fold as it was left.
     *
     * @param catalogue the catalogue, not null
     * @param history its history, oldest first, not null
     */
    public CatalogueFold(Catalogue catalogue, List<EditRecord> history) {
        this.catalogue = Objects.requireNonNull(catalogue, "catalogue");
        this.history = new ArrayDeque<>(history);
    }

    /**
     * Reads one edit.
     *
     * @param offset its place on the log
     * @param edit the edit, not null
     * @return what became of it
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
     * Returns the catalogue as of the last edit read.
     *
     * @return the catalogue; {@link Catalogue#EMPTY} before the first edit
     */
    public Catalogue catalogue() {
        return catalogue;
    }

    /**
     * Returns the last edits.
     *
     * @return at most {@link #HISTORY_LENGTH} lines, oldest first
     */
    public List<EditRecord> history() {
        return List.copyOf(history);
    }

    /**
     * Finds an edit in the history.
     *
     * @param editId the edit's id, not null
     * @return its line, or empty where it was not read or is forgotten
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
        List<CatalogueProblem> problems = CatalogueRules.check(next);
        if (!problems.isEmpty()) {
            return new EditOutcome.Invalid(problems.get(0).toString());
        }
        catalogue = next;
        return new EditOutcome.Accepted(offset);
    }
}
