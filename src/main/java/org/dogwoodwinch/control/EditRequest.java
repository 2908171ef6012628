package org.dogwoodwinch.control;

import java.util.Objects;

/**
 * An operator's request to edit the catalogue.
 *
 * @param editId the id of the edit; submitting the same id again is idempotent, not null
 * @param author the author of the edit, not null
 * @param document the complete requested catalogue, as JSON with comments; its {@code revision} is the base revision,
 *     not null
 */
public record EditRequest(String editId, String author, String document) {

    /** Validates the components. */
    public EditRequest {
        Objects.requireNonNull(editId, "editId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(document, "document");
    }
}
