package org.dogwoodwinch.catalogue;

import java.util.Objects;
import org.dogwoodwinch.controllog.ControlRecord;

/**
 * An edit of the catalogue, as stored in the log.
 *
 * @param id the edit's id, with which its author queries the outcome, not null
 * @param author the author, not null
 * @param editedAtMillis the wall-clock time of the edit at the instance that accepted it; informational only
 * @param baseRevision the revision on which the edit is based
 * @param change the difference to the base revision, not null
 */
public record CatalogueEdit(String id, String author, long editedAtMillis, long baseRevision, CatalogueChange change)
        implements ControlRecord {

    /** Validates the components. */
    public CatalogueEdit {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(change, "change");
    }
}
