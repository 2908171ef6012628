package org.dogwoodwinch.control;

import java.util.Objects;

/**
 * An operator's edit.
 *
 * @param editId names the edit; handing the same one in again is safe, not null
 * @param author who makes it, not null
 * @param document the whole catalogue wanted, as JSON with comments; its {@code revision} is the base, not null
 */
public record EditRequest(String editId, String author, String document) {

    /** Checks the parts. */
    public EditRequest {
        Objects.requireNonNull(editId, "editId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(document, "document");
    }
}
