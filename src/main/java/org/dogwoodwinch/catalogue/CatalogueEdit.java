package org.dogwoodwinch.catalogue;

import java.util.Objects;
import org.dogwoodwinch.controllog.ControlRecord;

/**
 * An edit of the catalogue, as it stands on the log.
 *
 * @param id the edit's id, by which its author asks what became of it, not null
 * @param author who made it, not null
 * @param editedAtMillis when, by the time of day of the instance that took it; for people only
 * @param baseRevision the revision that it was made from
 * @param change what it changes, not null
 */
public record CatalogueEdit(String id, String author, long editedAtMillis, long baseRevision, CatalogueChange change)
        implements ControlRecord {

    /** Checks the parts. */
    public CatalogueEdit {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(change, "change");
    }
}
