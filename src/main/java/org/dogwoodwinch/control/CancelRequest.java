package org.dogwoodwinch.control;

import java.util.Objects;

/**
 * An operator's wish to cancel a planned change.
 *
 * @param author who cancels, not null
 */
public record CancelRequest(String author) {

    /** Checks the parts. */
    public CancelRequest {
        Objects.requireNonNull(author, "author");
    }
}
